// Each attempt is a coroutine that uses a connection of the pool or a new one.
#include "carawayway/entry/backend_client.hpp"

#include "carawayway/entry/caller_http.hpp"
#include "carawayway/net/endpoint.hpp"
#include "carawayway/net/message_limits.hpp"
#include "carawayway/net/response_parser.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carawayway::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using engine::attempt_outcome;
using engine::cancel_attempt;
using engine::probe_server;
using engine::server_result;
using engine::start_attempt;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maximum_idle_connections_per_server = 16;
// Shorter than the usual keep-alive timeout of servers.
constexpr auto maximum_idle_time = std::chrono::seconds(20);
constexpr std::uint64_t maximum_response_body_bytes = 8ULL << 20U;
constexpr auto probe_timeout = std::chrono::milliseconds(500);

std::string_view to_view(beast::string_view text) {
    return {text.data(), text.size()};
}

http_request to_server_request(const start_attempt& start) {
    const auto& request = *start.request;
    http_request message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const auto& header : request.headers) {
        message.insert(header.name, header.value);
    }
    message.set(http::field::host, start.address);
    message.set("X-Request-Id", start.request_id);
    message.set("X-Request-Timeout-Ms",
                std::to_string(std::max<std::int64_t>(1, base::to_milliseconds(start.server_timeout))));
    if (!request.request_id.empty()) {
        message.set("Idempotency-Key", request.request_id);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

// Returns the requests in flight from X-Load: "3/6" means three requests in flight and six slots.
std::optional<std::uint32_t> parse_load(std::string_view load) {
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(load.data(), load.data() + load.size(), value);
    if (error != std::errc{} || end == load.data()) {
        return std::nullopt;
    }
    return value;
}

server_result to_result(http_response message) {
    server_result result;
    result.outcome = attempt_outcome::answered;
    result.status = static_cast<std::uint16_t>(message.result_int());
    for (const auto& field : message) {
        const std::string_view name = to_view(field.name_string());
        const std::string_view value = to_view(field.value());
        if (beast::iequals(name, "X-Load")) {
            result.reported_in_flight = parse_load(value);
        } else if (beast::iequals(name, "X-Draining")) {
            result.drain = value == "true" ? engine::drain_signal::draining : engine::drain_signal::none;
        } else if (beast::iequals(name, "X-Refused") && value == "before-work" && result.status == 503) {
            result.outcome = attempt_outcome::refused_before_work;
        } else if (!is_hop_by_hop(name) && !beast::iequals(name, "X-Request-Id")) {
            result.headers.push_back({std::string(name), std::string(value)});
        }
    }
    result.body = std::move(message.body());
    return result;
}

} // namespace

class backend_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, report_function report)
        : m_context(context), m_report(std::move(report)) {}

    void handle(start_attempt command) {
        asio::co_spawn(m_context, run_attempt(shared_from_this(), std::move(command)), asio::detached);
    }

    void handle(cancel_attempt command) {
        const auto found = m_running.find(command.attempt);
        if (found == m_running.end()) {
            return; // its result has already been reported
        }
        found->second->cancelled = true;
        found->second->stream.socket().close(m_ignored_error);
        found->second->stream.cancel();
    }

    void handle(probe_server command) {
        asio::co_spawn(m_context, run_probe(shared_from_this(), std::move(command)), asio::detached);
    }

private:
    struct server_connection {
        explicit server_connection(asio::io_context& context) : stream(context) {}
        beast::tcp_stream stream;
        beast::flat_buffer buffer{net::maximum_read_buffer_bytes};
        bool cancelled = false;
        base::time_point idle_since;
    };
    using connection_ptr = std::shared_ptr<server_connection>;

    static asio::awaitable<void> run_attempt(std::shared_ptr<implementation> self, start_attempt command) {
        server_result result = co_await self->attempt(command);
        self->m_running.erase(command.attempt);
        self->m_report(attempt_finished{command.attempt, std::move(result)});
    }

    asio::awaitable<server_result> attempt(const start_attempt& command) {
        const auto endpoint = net::parse_endpoint(command.address);
        if (!endpoint) {
            co_return failed(attempt_outcome::not_sent);
        }
        const auto deadline = base::monotonic_now() + command.timeout;
        connection_ptr connection = take_idle(command.address);
        const bool is_new = connection == nullptr;
        if (is_new) {
            connection = std::make_shared<server_connection>(m_context);
        }
        m_running[command.attempt] = connection;
        connection->stream.expires_after(deadline - base::monotonic_now());
        if (is_new) {
            auto [error] = co_await connection->stream.async_connect(*endpoint, use_tuple);
            if (error || connection->cancelled) {
                co_return failed(connection->cancelled ? attempt_outcome::cancelled
                                                       : attempt_outcome::not_sent);
            }
            connection->stream.socket().set_option(tcp::no_delay(true), m_ignored_error);
        }
        co_return co_await exchange(command, connection);
    }

    // Once the first byte is written, a failure means that the server may have received the request.
    asio::awaitable<server_result> exchange(const start_attempt& command, const connection_ptr& connection) {
        if (base::monotonic_now() > command.write_deadline) {
            // The process was paused after the engine chose the server, which another entry instance may own
            // by now.
            co_return failed(attempt_outcome::not_sent);
        }
        const http_request message = to_server_request(command);
        auto [write_error, written] = co_await http::async_write(connection->stream, message, use_tuple);
        if (write_error) {
            co_return failed(outcome_of(write_error, *connection, attempt_outcome::lost));
        }
        net::response_parser<http::string_body> parser;
        net::chunk_extension_limit extension_limit(parser);
        parser.body_limit(maximum_response_body_bytes);
        if (command.request->method == "HEAD") {
            parser.skip(true);
        }
        auto [read_error, received] =
            co_await http::async_read(connection->stream, connection->buffer, parser, use_tuple);
        if (read_error) {
            const auto failure_outcome =
                parser.is_header_done() ? attempt_outcome::truncated : attempt_outcome::lost;
            co_return failed(outcome_of(read_error, *connection, failure_outcome));
        }
        http_response response = parser.release();
        const auto echoed = response.find("X-Request-Id");
        if (echoed != response.end() && to_view(echoed->value()) != command.request_id) {
            // The response belongs to another request. Whether the server executed this one is unknown.
            co_return failed(attempt_outcome::mismatched);
        }
        if (response.keep_alive() && connection->buffer.size() == 0 && !connection->cancelled) {
            put_idle(command.address, connection);
        }
        co_return to_result(std::move(response));
    }

    static server_result failed(attempt_outcome outcome) {
        server_result result;
        result.outcome = outcome;
        return result;
    }

    static attempt_outcome outcome_of(boost::system::error_code error, const server_connection& connection,
                                      attempt_outcome default_outcome) {
        if (connection.cancelled) {
            return attempt_outcome::cancelled;
        }
        return error == beast::error::timeout ? attempt_outcome::timed_out : default_outcome;
    }

    connection_ptr take_idle(const std::string& address) {
        auto& idle = m_idle[address];
        while (!idle.empty()) {
            connection_ptr connection = std::move(idle.back());
            idle.pop_back();
            if (base::monotonic_now() - connection->idle_since < maximum_idle_time &&
                has_no_pending_input(*connection)) {
                return connection;
            }
        }
        return nullptr;
    }

    // An idle connection with pending input was closed by the server, or holds bytes that belong to no
    // request.
    bool has_no_pending_input(server_connection& connection) {
        auto& socket = connection.stream.socket();
        boost::system::error_code error;
        if (!socket.non_blocking()) {
            socket.non_blocking(true, error);
        }
        char byte = 0;
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    void put_idle(const std::string& address, const connection_ptr& connection) {
        auto& idle = m_idle[address];
        if (idle.size() >= maximum_idle_connections_per_server) {
            return;
        }
        connection->stream.expires_never();
        connection->idle_since = base::monotonic_now();
        idle.push_back(connection);
    }

    static asio::awaitable<void> run_probe(std::shared_ptr<implementation> self, probe_server command) {
        auto probe_result = server_probed::reachability::unreachable;
        if (const auto endpoint = net::parse_endpoint(command.address)) {
            beast::tcp_stream stream(self->m_context);
            stream.expires_after(probe_timeout);
            auto [error] = co_await stream.async_connect(*endpoint, use_tuple);
            if (!error) {
                probe_result = server_probed::reachability::reachable;
            }
        }
        self->m_report(server_probed{std::move(command.server), probe_result});
    }

    asio::io_context& m_context;
    report_function m_report;
    std::unordered_map<std::uint64_t, connection_ptr> m_running;         // by attempt
    std::unordered_map<std::string, std::vector<connection_ptr>> m_idle; // by server address
    boost::system::error_code m_ignored_error; // for calls whose failure does not matter
};

backend_client::backend_client(asio::io_context& context, report_function report)
    : m_implementation(std::make_shared<implementation>(context, std::move(report))) {}

backend_client::~backend_client() = default;

void backend_client::handle(backend_command command) {
    std::visit([this](auto& specific) { m_implementation->handle(std::move(specific)); }, command);
}

} // namespace carawayway::entry
