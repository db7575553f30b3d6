// Sends one request to one backend server, or to another gateway, over a new or pooled connection, and reads
// the response.
#pragma once

#include "carawayway/gateway/backend_pool.hpp"
#include "carawayway/gateway/message_headers.hpp"
#include "carawayway/gateway/wire_types.hpp"
#include "carawayway/net/connection_end.hpp"
#include "carawayway/net/message_limits.hpp"
#include "carawayway/net/response_parser.hpp"
#include "carawayway/net/socket_options.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <functional>
#include <memory>

namespace carawayway::gateway {

enum class exchange_outcome : std::uint8_t {
    answered,
    not_connected, // nothing was sent
    withheld,      // nothing was sent, since the receiver no longer takes requests
    unanswered,    // the request was sent, and the connection closed before any byte of a response
    broken,        // the request was sent, and the response is incomplete, run together or not HTTP
};

struct exchange_result {
    exchange_outcome outcome = exchange_outcome::not_connected;
    bool reused_connection = false;
    http_response response;
    response_metadata metadata;
    base::duration connect_time{}; // zero for a reused connection
    base::duration run_time{};     // from sending the request to the end of the response
};

struct exchange_limits {
    base::duration connect_timeout{};
    base::duration maximum_idle_time{}; // of a pooled connection
    std::uint64_t maximum_response_bytes = 0;
};

// Writes into the headers of a request what its receiver must know, in the moment in which it is sent.
template <class Call>
concept exchange_call = requires(const Call& call, http::fields& headers, const std::string& receiver,
                                 base::time_point now) {
    { call.write(headers, receiver, now) } -> std::same_as<void>;
    // Whether the receiver still takes requests, which may have changed while the connection was opened.
    { call.may_send(now) } -> std::same_as<bool>;
};

// A request to a backend server.
template <platform_protocol Platform>
struct server_call {
    base::time_point deadline{}; // of the caller, or the end of this process
    const placement::server_table& servers;
    placement::server_handle receiver;

    bool may_send(base::time_point now) const { return servers.may_send(*receiver, now); }
    void write(http::fields& headers, const std::string& server, base::time_point now) const {
        Platform::write_call(headers, server, deadline - now);
    }
};

template <platform_protocol Platform, exchange_call Call = server_call<Platform>>
class server_exchange : public std::enable_shared_from_this<server_exchange<Platform, Call>> {
public:
    using completion_handler = std::function<void(exchange_result)>;

    // `pool` and `memory` must outlive the exchange.
    server_exchange(boost::asio::any_io_executor executor, backend_pool& pool, message_memory& memory,
                    std::string server, boost::asio::ip::tcp::endpoint address, exchange_limits limits,
                    Call call)
        : m_executor(std::move(executor)), m_pool(pool), m_memory(memory), m_server(std::move(server)),
          m_address(std::move(address)), m_limits(limits), m_call(std::move(call)),
          m_connect_timer(m_executor) {}

    // `done` runs once, after this call has returned, unless abort() is called first.
    // The request does not change while an exchange has it.
    void start(std::shared_ptr<const http_request> request, std::string request_id, completion_handler done) {
        m_request = std::move(request);
        m_sent_request.base() = m_request->base();
        m_sent_request.body() = {m_request->body().data(), m_request->body().size()};
        m_request_id = std::move(request_id);
        m_done = std::move(done);
        boost::asio::co_spawn(m_executor, run(this->shared_from_this()), boost::asio::detached);
    }

    // Closes the connection; a server that notices this can stop its work on the request.
    void abort() {
        m_aborted = true;
        m_done = nullptr;
        m_connect_timer.cancel();
        close();
    }

    // Whether any byte of the request may have reached the server.
    bool was_sent() const { return m_sent; }

private:
    // Responses to other requests that are skipped before the connection is closed.
    static constexpr int maximum_skipped_responses = 4;

    static boost::asio::awaitable<void> run(std::shared_ptr<server_exchange> self) {
        exchange_result result;
        co_await self->exchange(result);
        if (!self->m_aborted && self->m_done) {
            const auto done = std::move(self->m_done);
            done(std::move(result));
        }
    }

    boost::asio::awaitable<void> exchange(exchange_result& result) {
        if (!m_request_id.empty()) {
            m_connection = m_pool.take(m_server, m_limits.maximum_idle_time, base::monotonic_now());
        }
        result.reused_connection = m_connection != nullptr;
        if (!m_connection) {
            const bool connected = co_await connect(result);
            if (!connected) {
                co_return;
            }
        }
        if (m_aborted) {
            co_return;
        }
        const auto sent_at = base::monotonic_now();
        if (!m_call.may_send(sent_at)) {
            result.outcome = exchange_outcome::withheld;
            m_pool.put(m_server, std::move(m_connection), sent_at);
            co_return;
        }
        m_call.write(m_sent_request, m_server, sent_at);
        m_sent = true;
        m_writing = true;
        http::async_write(m_connection->socket, m_sent_request,
                          [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                              self->m_writing = false;
                              self->m_write_error = error;
                          });
        co_await read_response(result);
        result.run_time = base::monotonic_now() - sent_at;
    }

    boost::asio::awaitable<bool> connect(exchange_result& result) {
        boost::asio::ip::tcp::socket socket(m_executor);
        m_connection = std::make_unique<backend_connection>(std::move(socket));
        const auto started_at = base::monotonic_now();
        m_connect_timer.expires_after(m_limits.connect_timeout);
        m_connect_timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
            if (!error) {
                self->close();
            }
        });
        boost::system::error_code error;
        co_await m_connection->socket.async_connect(
            m_address, boost::asio::redirect_error(boost::asio::use_awaitable, error));
        m_connect_timer.cancel();
        if (error || m_aborted || !m_connection->socket.is_open()) {
            result.outcome = exchange_outcome::not_connected;
            m_connection.reset();
            co_return false;
        }
        result.connect_time = base::monotonic_now() - started_at;
        net::set_backend_options(m_connection->socket);
        m_connection->idle_timeout = backend_pool::default_idle_timeout;
        co_return true;
    }

    boost::asio::awaitable<void> read_response(exchange_result& result) {
        for (int skipped = 0; skipped <= maximum_skipped_responses; ++skipped) {
            net::response_parser<http::string_body> parser;
            net::chunk_extension_limit extension_limit(parser);
            parser.body_limit(m_limits.maximum_response_bytes);
            parser.skip(m_request->method() == http::verb::head);
            message_memory::reservation memory(m_memory, message_memory::message_kind::response);
            const auto error = co_await read_whole(parser, memory);
            if (m_aborted) {
                co_return;
            }
            if (error || (parser.need_eof() && !net::is_end_by_peer(m_write_error))) {
                result.outcome = parser.got_some() ? exchange_outcome::broken : exchange_outcome::unanswered;
                close();
                co_return;
            }
            result.response = http_response(parser.release(), std::move(memory));
            if (contains_status_line(result.response)) {
                break;
            }
            result.metadata = Platform::read_answer(result.response.result_int(), result.response);
            const bool informational = result.response.result_int() < 200;
            if (!informational && result.metadata.request_id == m_request_id) {
                result.outcome = exchange_outcome::answered;
                release_connection(result.response);
                co_return;
            }
            if (!result.response.keep_alive() || result.response.need_eof()) {
                break;
            }
            m_is_out_of_step = m_is_out_of_step || !informational;
        }
        result.outcome = exchange_outcome::broken;
        close();
    }

    // Ends with an error when the response takes more memory than it may.
    boost::asio::awaitable<boost::system::error_code>
    read_whole(net::response_parser<http::string_body>& parser, message_memory::reservation& memory) {
        boost::system::error_code error;
        while (!error && !parser.is_done()) {
            co_await http::async_read_some(m_connection->socket, m_connection->buffer, parser,
                                           boost::asio::redirect_error(boost::asio::use_awaitable, error));
            const auto& read = parser.get();
            const auto held = memory_of(read) + read.body().size() + m_connection->buffer.size();
            if (!error && !memory.try_resize(held)) {
                error = http::error::body_limit;
            }
        }
        co_return error;
    }

    // Returns the connection to the pool if it can be reused. Bytes after the response would be taken for the
    // next one, and a request that is still being written would be mixed with the next. Without an
    // ID, a late response to one request cannot be told from that to the next one.
    void release_connection(const http_response& response) {
        const bool reusable = response.keep_alive() && !response.need_eof() && !m_writing && !m_write_error &&
                              m_connection->buffer.size() == 0 && !m_request_id.empty() && !m_is_out_of_step;
        if (!reusable) {
            close();
            return;
        }
        if (const auto limit = keep_alive_timeout(response)) {
            m_connection->idle_timeout = *limit;
        }
        m_pool.put(m_server, std::move(m_connection), base::monotonic_now());
    }

    void close() {
        if (m_connection) {
            boost::system::error_code ignored; // the connection is discarded in any case
            m_connection->socket.close(ignored);
        }
    }

    boost::asio::any_io_executor m_executor;
    backend_pool& m_pool;
    message_memory& m_memory;
    std::string m_server;
    boost::asio::ip::tcp::endpoint m_address;
    exchange_limits m_limits;
    Call m_call;
    boost::asio::steady_timer m_connect_timer;
    std::shared_ptr<const http_request> m_request;
    // Has headers of its own, and the body of m_request.
    http::request<http::span_body<const char>> m_sent_request;
    std::string m_request_id;
    completion_handler m_done;
    std::unique_ptr<backend_connection> m_connection;
    bool m_sent = false;
    bool m_writing = false;
    boost::system::error_code m_write_error; // of the request; none while it is being written
    bool m_is_out_of_step = false;           // the server has sent a response to another request
    bool m_aborted = false;
};

} // namespace carawayway::gateway
