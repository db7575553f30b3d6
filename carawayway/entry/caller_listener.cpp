// Passes the requests of callers to the steering thread and matches its replies to them by token.
#include "carawayway/entry/caller_listener.hpp"

#include "carawayway/entry/caller_http.hpp"
#include "carawayway/entry/http_listener.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <unordered_map>
#include <utility>

namespace carawayway::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

} // namespace

class caller_listener::implementation {
public:
    implementation(asio::io_context& context, const config::instance_settings& settings,
                   submit_function submit)
        : m_context(context), m_submit(std::move(submit)),
          m_listener(std::make_shared<http_listener>(
              context,
              listener_limits{settings.caller_connections, settings.header_limit, settings.body_limit,
                              settings.idle_timeout},
              [this](http_exchange& exchange) { return handle(exchange); })) {}

    http_listener& listener() { return *m_listener; }

    void deliver(caller_reply reply) {
        const auto found = m_pending.find(reply.token);
        if (found == m_pending.end()) {
            return; // the caller has left
        }
        found->second->reply = std::move(reply);
        found->second->reply_signal.cancel();
    }

private:
    // A submitted event whose reply has not been written. The timer never expires; it is cancelled to resume
    // the coroutine that waits for the reply.
    struct pending_reply {
        explicit pending_reply(const asio::any_io_executor& executor)
            : reply_signal(executor, asio::steady_timer::time_point::max()) {}
        asio::steady_timer reply_signal;
        std::optional<caller_reply> reply;
    };

    asio::awaitable<std::optional<http_response>> handle(http_exchange& exchange) {
        const std::string target(exchange.request.target().data(), exchange.request.target().size());
        const unsigned version = exchange.request.version();
        if (target == "/health") {
            co_return json_response(200, "{\"status\":\"alive\"}\n", version);
        }
        const std::uint64_t token = ++m_last_token;
        base::failure failure;
        auto event = to_event(exchange, target, token, failure);
        if (!event) {
            co_return to_response(engine::make_error_response(failure.kind, failure.detail), version);
        }
        const auto pending = std::make_shared<pending_reply>(m_context.get_executor());
        m_pending.emplace(token, pending);
        if (!m_submit(std::move(*event))) {
            m_pending.erase(token);
            co_return to_response(
                engine::make_error_response(base::error_kind::overloaded,
                                            "the request queue of the entry instance is full",
                                            std::chrono::seconds(1)),
                version);
        }
        exchange.stream.expires_never();
        co_await wait_for_reply(exchange.stream, *pending);
        m_pending.erase(token);
        if (!pending->reply) {
            // If the ring buffer is full, the event is dropped and the request ends at its deadline.
            m_submit(caller_left{token});
            co_return std::nullopt;
        }
        co_return render(*pending->reply, version);
    }

    // Returns when the reply has arrived or the caller has closed its connection.
    asio::awaitable<void> wait_for_reply(beast::tcp_stream& stream, pending_reply& pending) {
        while (!pending.reply) {
            const auto result = co_await (pending.reply_signal.async_wait(use_tuple) ||
                                          stream.socket().async_wait(tcp::socket::wait_read, use_tuple));
            if (result.index() == 0 || pending.reply) {
                continue;
            }
            std::array<char, 1> byte{};
            boost::system::error_code error;
            const auto received =
                stream.socket().receive(asio::buffer(byte), tcp::socket::message_peek, error);
            if (error || received == 0) {
                co_return;
            }
            // The caller has pipelined its next request: from here on, wait for the reply only.
            if (!pending.reply) {
                co_await pending.reply_signal.async_wait(use_tuple);
            }
        }
    }

    static std::optional<caller_event> to_event(const http_exchange& exchange, const std::string& target,
                                                std::uint64_t token, base::failure& last_failure) {
        const std::string_view path = std::string_view(target).substr(0, target.find('?'));
        if (path == "/ready") {
            return readiness_requested{token};
        }
        if (path == "/lookup") {
            auto service = query_parameter(target, "service");
            if (!service) {
                last_failure = {base::error_kind::request_invalid, "the query parameter service is missing"};
                return std::nullopt;
            }
            return lookup_received{token, std::move(*service), exchange.client_address};
        }
        auto service = service_name_of_target(target);
        if (!service) {
            last_failure = {base::error_kind::not_found,
                            "unknown path; use /lookup, /service/NAME/..., /health or /ready"};
            return std::nullopt;
        }
        auto converted =
            to_service_request(exchange.request, std::move(*service), exchange.client_address, last_failure);
        if (!converted) {
            return std::nullopt;
        }
        return request_received{token,
                                std::make_shared<const engine::service_request>(std::move(*converted))};
    }

    static http_response render(const caller_reply& reply, unsigned http_version) {
        if (const auto* answer = std::get_if<engine::response_ptr>(&reply.content)) {
            auto response = to_response(**answer, http_version);
            response.keep_alive((*answer)->error != base::error_kind::stopping);
            return response;
        }
        if (const auto* lookup = std::get_if<engine::lookup_response>(&reply.content)) {
            return to_response(*lookup, http_version);
        }
        const auto& state = std::get<readiness>(reply.content);
        if (state.value == readiness::state::ready) {
            return json_response(200, "{\"status\":\"ready\"}\n", http_version);
        }
        return to_response(
            engine::make_error_response(base::error_kind::not_ready, state.reason, std::chrono::seconds(1)),
            http_version);
    }

    asio::io_context& m_context;
    submit_function m_submit;
    std::uint64_t m_last_token = 0; // never reused, so that a late reply cannot reach another caller
    std::unordered_map<std::uint64_t, std::shared_ptr<pending_reply>> m_pending;
    std::shared_ptr<http_listener> m_listener;
};

caller_listener::caller_listener(asio::io_context& context, const config::instance_settings& settings,
                                 submit_function submit)
    : m_implementation(std::make_unique<implementation>(context, settings, std::move(submit))) {}

caller_listener::~caller_listener() = default;

config::socket_address caller_listener::listen(const config::socket_address& address) {
    return m_implementation->listener().listen(address);
}

void caller_listener::deliver(caller_reply reply) {
    m_implementation->deliver(std::move(reply));
}

void caller_listener::finish(std::function<void()> done) {
    m_implementation->listener().finish(std::move(done));
}

} // namespace carawayway::entry
