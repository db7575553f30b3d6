// One request to one backend server: connects or reuses a connection, sends, and reads the answer.
#pragma once

#include "carawayway/gateway/backend_pool.hpp"
#include "carawayway/gateway/message_headers.hpp"
#include "carawayway/gateway/wire_types.hpp"
#include "carawayway/net/socket_options.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <functional>
#include <memory>

namespace carawayway::gateway {

enum class exchange_end : std::uint8_t {
    answered,
    not_connected, // nothing was sent
    unanswered,    // sent, and the connection ended without a byte of an answer
    broken,        // sent, and the answer is incomplete or not HTTP
};

struct exchange_result {
    exchange_end end = exchange_end::not_connected;
    bool reused_connection = false;
    http_response answer;
    response_metadata marks;
    base::duration connect_time{}; // zero for a reused connection
    base::duration run_time{};     // from the send to the end of the answer
};

struct exchange_limits {
    base::duration connect_timeout{};
    base::duration longest_idle{}; // of a connection that is reused
    std::uint64_t answer_bytes = 0;
};

template <platform_protocol Platform>
class server_exchange : public std::enable_shared_from_this<server_exchange<Platform>> {
public:
    using handler = std::function<void(exchange_result)>;

    server_exchange(boost::asio::any_io_executor executor, backend_pool& pool, std::string server,
                    boost::asio::ip::tcp::endpoint address, exchange_limits limits)
        : m_executor(std::move(executor)), m_pool(pool), m_server(std::move(server)),
          m_address(std::move(address)), m_limits(limits), m_timer(m_executor) {}

    // `done` runs once, later, unless abort() is called first.
    void start(std::shared_ptr<const http_request> request, std::string request_id, handler done) {
        m_request = std::move(request);
        m_request_id = std::move(request_id);
        m_done = std::move(done);
        boost::asio::co_spawn(m_executor, run(this->shared_from_this()), boost::asio::detached);
    }

    // Closes the connection; a server that notices stops the work.
    void abort() {
        m_aborted = true;
        m_done = nullptr;
        m_timer.cancel();
        close();
    }

    // Whether any byte of the request may have reached the server.
    bool was_sent() const { return m_sent; }

private:
    // Answers to other requests that are skipped on a connection before it is given up.
    static constexpr int tolerated_extra_answers = 4;

    static boost::asio::awaitable<void> run(std::shared_ptr<server_exchange> self) {
        exchange_result result;
        co_await self->exchange(result);
        if (!self->m_aborted && self->m_done) {
            const auto done = std::move(self->m_done);
            done(std::move(result));
        }
    }

    boost::asio::awaitable<void> exchange(exchange_result& result) {
        m_connection = m_pool.take(m_server, m_limits.longest_idle, base::monotonic_now());
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
        m_sent = true;
        m_writing = true;
        http::async_write(m_connection->socket, *m_request,
                          [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                              self->m_writing = false;
                              self->m_write_failed = static_cast<bool>(error);
                          });
        co_await read_answer(result);
        result.run_time = base::monotonic_now() - sent_at;
    }

    boost::asio::awaitable<bool> connect(exchange_result& result) {
        boost::asio::ip::tcp::socket socket(m_executor);
        m_connection = std::make_unique<backend_connection>(std::move(socket));
        const auto started_at = base::monotonic_now();
        m_timer.expires_after(m_limits.connect_timeout);
        m_timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
            if (!error) {
                self->close();
            }
        });
        boost::system::error_code error;
        co_await m_connection->socket.async_connect(
            m_address, boost::asio::redirect_error(boost::asio::use_awaitable, error));
        m_timer.cancel();
        if (error || m_aborted || !m_connection->socket.is_open()) {
            result.end = exchange_end::not_connected;
            m_connection.reset();
            co_return false;
        }
        result.connect_time = base::monotonic_now() - started_at;
        net::set_backend_options(m_connection->socket);
        m_connection->idle_limit = backend_pool::default_idle_limit;
        co_return true;
    }

    boost::asio::awaitable<void> read_answer(exchange_result& result) {
        for (int extra = 0; extra <= tolerated_extra_answers; ++extra) {
            http::response_parser<http::string_body> parser;
            parser.body_limit(m_limits.answer_bytes);
            parser.skip(m_request->method() == http::verb::head);
            boost::system::error_code error;
            co_await http::async_read(m_connection->socket, m_connection->buffer, parser,
                                      boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (m_aborted) {
                co_return;
            }
            if (error) {
                result.end = parser.got_some() ? exchange_end::broken : exchange_end::unanswered;
                close();
                co_return;
            }
            result.answer = parser.release();
            result.marks = Platform::read_answer(result.answer.result_int(), result.answer);
            const bool informational = result.answer.result_int() < 200;
            if (!informational && result.marks.request_id == m_request_id) {
                result.end = exchange_end::answered;
                keep_or_close(result.answer);
                co_return;
            }
            if (!result.answer.keep_alive() || result.answer.need_eof()) {
                break;
            }
        }
        result.end = exchange_end::broken;
        close();
    }

    // Bytes behind the answer belong to no request, and a request that is not yet written would be cut by the
    // next.
    void keep_or_close(const http_response& answer) {
        const bool reusable = answer.keep_alive() && !answer.need_eof() && !m_writing && !m_write_failed &&
                              m_connection->buffer.size() == 0;
        if (!reusable) {
            close();
            return;
        }
        if (const auto limit = keep_alive_timeout(answer)) {
            m_connection->idle_limit = *limit;
        }
        m_pool.put(m_server, std::move(m_connection), base::monotonic_now());
    }

    void close() {
        if (m_connection) {
            boost::system::error_code ignored; // the connection is given up in any case
            m_connection->socket.close(ignored);
        }
    }

    boost::asio::any_io_executor m_executor;
    backend_pool& m_pool;
    std::string m_server;
    boost::asio::ip::tcp::endpoint m_address;
    exchange_limits m_limits;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<const http_request> m_request;
    std::string m_request_id;
    handler m_done;
    std::unique_ptr<backend_connection> m_connection;
    bool m_sent = false;
    bool m_writing = false;
    bool m_write_failed = false;
    bool m_aborted = false;
};

} // namespace carawayway::gateway
