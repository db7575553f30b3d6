// Sessions as coroutines: one request at a time per connection, each answered by the reply for its own token.
#include "carawayway/entry/caller_listener.hpp"

#include "carawayway/base/log.hpp"
#include "carawayway/entry/caller_http.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <unordered_map>
#include <utility>

namespace carawayway::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr auto write_timeout = std::chrono::seconds(10);  // a caller that reads more slowly is cut off
constexpr auto header_timeout = std::chrono::seconds(10); // from the first byte of a request to its last

} // namespace

class caller_listener::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, listener_limits limits, submit_function submit)
        : m_context(context), m_limits(limits), m_submit(std::move(submit)), m_acceptor(context) {}

    config::socket_address listen(const config::socket_address& address) {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        asio::co_spawn(m_context, accept_connections(shared_from_this()), asio::detached);
        const auto bound = m_acceptor.local_endpoint();
        return {bound.address().to_string(), bound.port()};
    }

    void stop_accepting() {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }

    void deliver(caller_reply reply) {
        const auto found = m_pending.find(reply.token);
        if (found == m_pending.end()) {
            return; // the caller left
        }
        found->second->reply = std::move(reply);
        found->second->arrived.cancel();
    }

private:
    // A submitted event whose reply has not been written. The timer never expires; cancelling it wakes the
    // session.
    struct pending_reply {
        explicit pending_reply(const asio::any_io_executor& executor)
            : arrived(executor, asio::steady_timer::time_point::max()) {}
        asio::steady_timer arrived;
        std::optional<caller_reply> reply;
    };

    static asio::awaitable<void> accept_connections(std::shared_ptr<implementation> self) {
        while (self->m_acceptor.is_open()) {
            auto [error, socket] = co_await self->m_acceptor.async_accept(use_tuple);
            if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
                co_return;
            }
            if (error) {
                // Out of descriptors: wait, so that the loop does not spin.
                asio::steady_timer pause(self->m_context, std::chrono::milliseconds(50));
                co_await pause.async_wait(use_tuple);
                continue;
            }
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            asio::co_spawn(self->m_context, serve(self, std::move(socket)), asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<implementation> self, tcp::socket socket) {
        ++self->m_connections;
        beast::tcp_stream stream(std::move(socket));
        if (self->m_connections > self->m_limits.connections) {
            auto refusal =
                to_response(engine::make_refusal(base::error_kind::too_many_connections,
                                                 "connection limit reached", std::chrono::seconds(1)),
                            11);
            refusal.keep_alive(false);
            co_await self->write(stream, refusal);
        } else {
            co_await self->serve_requests(stream);
        }
        boost::system::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        --self->m_connections;
    }

    asio::awaitable<void> serve_requests(beast::tcp_stream& stream) {
        beast::flat_buffer buffer;
        boost::system::error_code address_error;
        const auto remote = stream.socket().remote_endpoint(address_error);
        if (address_error) {
            co_return;
        }
        const std::string client_address = remote.address().to_string();
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.header_limit(m_limits.header_bytes);
            parser.body_limit(m_limits.body_bytes);
            if (buffer.size() == 0) {
                stream.expires_after(
                    std::chrono::duration_cast<std::chrono::milliseconds>(m_limits.idle_timeout));
                auto [idle_error] = co_await stream.socket().async_wait(tcp::socket::wait_read, use_tuple);
                if (idle_error) {
                    co_return;
                }
            }
            stream.expires_after(header_timeout);
            auto [error, bytes] = co_await http::async_read(stream, buffer, parser, use_tuple);
            if (error) {
                co_await refuse_unreadable(stream, error);
                co_return;
            }
            const http_request request = parser.release();
            http_response response = co_await handle(stream, request, client_address);
            if (response.result_int() == 0) {
                co_return; // the caller left
            }
            const bool keep = request.keep_alive();
            response.keep_alive(keep);
            const bool written = co_await write(stream, response);
            if (!written || !keep) {
                co_return;
            }
        }
    }

    asio::awaitable<void> refuse_unreadable(beast::tcp_stream& stream, boost::system::error_code error) {
        if (error == http::error::end_of_stream || error == asio::error::connection_reset) {
            co_return;
        }
        const bool too_large = error == http::error::body_limit || error == http::error::header_limit;
        const auto kind = too_large ? base::error_kind::request_too_large : base::error_kind::request_invalid;
        auto response = to_response(engine::make_refusal(kind, error.message()), 11);
        response.keep_alive(false);
        co_await write(stream, response);
    }

    asio::awaitable<bool> write(beast::tcp_stream& stream, const http_response& response) {
        stream.expires_after(write_timeout);
        auto [error, bytes] = co_await http::async_write(stream, response, use_tuple);
        co_return !error;
    }

    asio::awaitable<http_response> handle(beast::tcp_stream& stream, const http_request& request,
                                          std::string client_address) {
        const std::string target(request.target().data(), request.target().size());
        if (target == "/health") {
            co_return json_response(200, "{\"status\":\"alive\"}\n", request.version());
        }
        const std::uint64_t token = ++m_last_token;
        auto event = to_event(request, target, std::move(client_address), token);
        if (!event) {
            co_return to_response(engine::make_refusal(m_last_failure.kind, m_last_failure.detail),
                                  request.version());
        }
        const auto pending = std::make_shared<pending_reply>(m_context.get_executor());
        m_pending.emplace(token, pending);
        if (!m_submit(std::move(*event))) {
            m_pending.erase(token);
            co_return to_response(engine::make_refusal(base::error_kind::overloaded,
                                                       "entry instance is saturated",
                                                       std::chrono::seconds(1)),
                                  request.version());
        }
        stream.expires_never();
        co_await wait_for_reply(stream, *pending);
        m_pending.erase(token);
        if (!pending->reply) {
            m_submit(caller_left{token});
            http_response left;
            left.result(0U);
            co_return left;
        }
        co_return render(*pending->reply, request.version());
    }

    // Returns when the reply is there or the caller has closed its connection.
    asio::awaitable<void> wait_for_reply(beast::tcp_stream& stream, pending_reply& pending) {
        while (!pending.reply) {
            const auto result = co_await (pending.arrived.async_wait(use_tuple) ||
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
            // The next request of a pipelining caller is waiting; from here on only the reply matters.
            if (!pending.reply) {
                co_await pending.arrived.async_wait(use_tuple);
            }
        }
    }

    std::optional<caller_event> to_event(const http_request& request, const std::string& target,
                                         std::string client_address, std::uint64_t token) {
        const std::string_view path = std::string_view(target).substr(0, target.find('?'));
        if (path == "/ready") {
            return readiness_asked{token};
        }
        if (path == "/lookup") {
            auto service = query_parameter(target, "service");
            if (!service) {
                m_last_failure = {base::error_kind::request_invalid,
                                  "the query parameter service is missing"};
                return std::nullopt;
            }
            return lookup_received{token, std::move(*service), std::move(client_address)};
        }
        auto service = service_of_target(target);
        if (!service) {
            m_last_failure = {base::error_kind::not_found,
                              "use /lookup, /service/NAME/..., /health or /ready"};
            return std::nullopt;
        }
        auto converted =
            to_service_request(request, std::move(*service), std::move(client_address), m_last_failure);
        if (!converted) {
            return std::nullopt;
        }
        return request_received{token,
                                std::make_shared<const engine::service_request>(std::move(*converted))};
    }

    static http_response render(const caller_reply& reply, unsigned http_version) {
        if (const auto* answer = std::get_if<engine::answer_ptr>(&reply.content)) {
            return to_response(**answer, http_version);
        }
        if (const auto* lookup = std::get_if<engine::lookup_answer>(&reply.content)) {
            return to_response(*lookup, http_version);
        }
        const auto& state = std::get<readiness>(reply.content);
        if (state.value == readiness::state::ready) {
            return json_response(200, "{\"status\":\"ready\"}\n", http_version);
        }
        return to_response(
            engine::make_refusal(base::error_kind::not_ready, state.reason, std::chrono::seconds(1)),
            http_version);
    }

    asio::io_context& m_context;
    listener_limits m_limits;
    submit_function m_submit;
    tcp::acceptor m_acceptor;
    std::uint32_t m_connections = 0;
    std::uint64_t m_last_token = 0; // tokens are never reused, so a late reply cannot reach another caller
    std::unordered_map<std::uint64_t, std::shared_ptr<pending_reply>> m_pending;
    base::failure m_last_failure;
};

caller_listener::caller_listener(asio::io_context& context, listener_limits limits, submit_function submit)
    : m_implementation(std::make_shared<implementation>(context, limits, std::move(submit))) {}

caller_listener::~caller_listener() = default;

config::socket_address caller_listener::listen(const config::socket_address& address) {
    return m_implementation->listen(address);
}

void caller_listener::deliver(caller_reply reply) {
    m_implementation->deliver(std::move(reply));
}

void caller_listener::stop_accepting() {
    m_implementation->stop_accepting();
}

} // namespace carawayway::entry
