// Requests of one caller.
#include "Tests/soak/soak_caller.hpp"

#include "Tests/soak/http_stand_in.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

namespace carawayway::soak {

namespace {

constexpr std::uint64_t objects = 30;
constexpr int longest_pause_ms = 40;
constexpr int reconnect_pause_ms = 50;

} // namespace

soak_caller::soak_caller(boost::asio::io_context& context,
                         std::vector<boost::asio::ip::tcp::endpoint> gateways, run_record& record,
                         std::uint32_t seed)
    : m_context(context), m_gateways(std::move(gateways)), m_record(record), m_random(seed) {}

void soak_caller::start() {
    boost::asio::co_spawn(m_context, run(), boost::asio::detached);
}

attempt soak_caller::next_attempt(std::size_t gateway) {
    attempt made;
    made.request_id = fmt::format("{:016x}", m_random());
    made.semantics = m_random() % 2 == 0 ? request_semantics::idempotent : request_semantics::non_idempotent;
    made.gateway = gateway;
    made.sent = clock::now();
    return made;
}

boost::asio::awaitable<void> soak_caller::run() {
    using boost::asio::redirect_error;
    using boost::asio::use_awaitable;
    while (!m_stopping) {
        const std::size_t gateway = m_random() % m_gateways.size();
        boost::beast::tcp_stream stream(m_context);
        boost::system::error_code error;
        stream.expires_after(patience);
        co_await stream.async_connect(m_gateways[gateway], redirect_error(use_awaitable, error));
        boost::beast::flat_buffer buffer;
        while (!error && !m_stopping) {
            auto made = next_attempt(gateway);
            const bool repeatable = made.semantics == request_semantics::idempotent;
            http_request request{repeatable ? http::verb::get : http::verb::post,
                                 repeatable ? "/read/x" : "/book/x", 11};
            request.set(http::field::host, "soak.example");
            request.set("Request-Id", made.request_id);
            request.set("Deadline-Ms", "4000");
            request.set(http::field::cookie, fmt::format("Affinity-Key={}", m_random() % objects));
            request.prepare_payload();
            stream.expires_after(patience);
            co_await http::async_write(stream, request, redirect_error(use_awaitable, error));
            made.was_written = !error;
            http_response answer;
            if (!error) {
                co_await http::async_read(stream, buffer, answer, redirect_error(use_awaitable, error));
            }
            made.ended = clock::now();
            if (!error) {
                made.status = answer.result_int();
                made.own_body = answer.body() == made.request_id && answer["Request-Id"] == made.request_id;
            }
            m_record.attempts.push_back(std::move(made));
            if (!error && !answer.keep_alive()) {
                break;
            }
            co_await sleep_for(std::chrono::milliseconds{m_random() % longest_pause_ms});
        }
        co_await sleep_for(std::chrono::milliseconds{reconnect_pause_ms});
    }
    m_ended = true;
}

} // namespace carawayway::soak
