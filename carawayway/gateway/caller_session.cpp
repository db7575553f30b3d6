// Reading, ordering and writing on a caller's connection.
#include "carawayway/gateway/caller_session.hpp"

#include "carawayway/gateway/message_headers.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

namespace carawayway::gateway {

namespace {

constexpr std::size_t read_size = 4096; // bytes

// An idle connection is kept a little longer than callers are told, so that it is not closed under a request.
constexpr base::duration idle_margin = std::chrono::seconds{1};

// Time that the caller has to close its side after the last answer.
constexpr base::duration linger = std::chrono::milliseconds{500};

http::status status_of(boost::system::error_code error) {
    if (error == http::error::header_limit) {
        return http::status::request_header_fields_too_large;
    }
    if (error == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    return http::status::bad_request;
}

} // namespace

caller_session::caller_session(boost::asio::ip::tcp::socket socket, serve_function serve,
                               std::function<session_limits()> limits, std::function<void()> ended)
    : m_socket(std::move(socket)), m_serve(std::move(serve)), m_limits(std::move(limits)),
      m_ended(std::move(ended)), m_watchdog(m_socket.get_executor()), m_room(m_socket.get_executor()) {}

void caller_session::start() {
    m_last_activity = base::monotonic_now();
    boost::asio::co_spawn(m_socket.get_executor(), run(shared_from_this()), boost::asio::detached);
    arm_watchdog();
}

void caller_session::stop_after_answers() {
    m_stopping = true;
}

void caller_session::close_if_idle() {
    if (is_idle() && !m_writing) {
        close();
    }
}

boost::asio::awaitable<void> caller_session::run(std::shared_ptr<caller_session> self) {
    while (!self->m_closed && !self->m_closing) {
        if (self->m_calls.size() >= longest_pipeline) {
            self->m_room.expires_at(boost::asio::steady_timer::time_point::max());
            boost::system::error_code woken;
            co_await self->m_room.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
            continue;
        }
        std::optional<http_request> request;
        const read_end end = co_await self->read_request(request);
        self->m_reading_request = false;
        if (end == read_end::closed) {
            self->close();
            break;
        }
        if (end == read_end::complete && !self->m_closing) {
            const bool last = !request->keep_alive();
            self->begin(std::move(*request), self->m_request_started);
            if (last) {
                break;
            }
        }
        if (end == read_end::refused) {
            break;
        }
    }
    co_await self->drain();
}

// Notices that the caller leaves while its last requests are in progress.
boost::asio::awaitable<void> caller_session::drain() {
    while (!m_closed) {
        const bool open = co_await read_more();
        if (!open) {
            close();
        }
        m_buffer.clear();
    }
}

boost::asio::awaitable<bool> caller_session::read_more() {
    boost::system::error_code error;
    const std::size_t count = co_await m_socket.async_read_some(
        m_buffer.prepare(read_size), boost::asio::redirect_error(boost::asio::use_awaitable, error));
    m_buffer.commit(count);
    co_return !error && !m_closed;
}

boost::asio::awaitable<caller_session::read_end>
caller_session::read_request(std::optional<http_request>& request) {
    const session_limits limits = m_limits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    parser.eager(true);
    bool header_seen = false;
    while (!parser.is_done()) {
        if (m_buffer.size() == 0 || m_reading_request) {
            const bool open = co_await read_more();
            if (!open) {
                co_return read_end::closed;
            }
        }
        if (m_closing) {
            co_return read_end::refused; // crossed the last answer; the caller sends it again
        }
        m_last_activity = base::monotonic_now();
        if (!m_reading_request) {
            m_reading_request = true;
            m_request_started = m_last_activity;
        }
        boost::system::error_code error;
        while (m_buffer.size() > 0 && !parser.is_done() && !error) {
            m_buffer.consume(parser.put(m_buffer.data(), error));
        }
        if (error && error != http::error::need_more) {
            refuse_unreadable(status_of(error));
            co_return read_end::refused;
        }
        if (parser.is_header_done() && !header_seen) {
            header_seen = true;
            const bool open = co_await allow_body(parser);
            if (!open) {
                co_return read_end::closed;
            }
        }
    }
    request = parser.release();
    co_return read_end::complete;
}

// Callers that ask for permission to send the body get it.
boost::asio::awaitable<bool> caller_session::allow_body(http::request_parser<http::string_body>& parser) {
    if (parser.is_done() || parser.get()[http::field::expect] != "100-continue" || !m_calls.empty()) {
        co_return true;
    }
    static constexpr std::string_view permission = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code error;
    co_await boost::asio::async_write(m_socket, boost::asio::buffer(permission),
                                      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    co_return !error;
}

void caller_session::begin(http_request request, base::time_point arrived) {
    auto item = std::make_shared<call>();
    item->keep_alive = request.keep_alive();
    item->head = request.method() == http::verb::head;
    item->version = request.version();
    m_calls.push_back(item);
    const auto self = shared_from_this();
    item->cancel = m_serve(std::move(request), arrived,
                           [self, item](http_response answer) { self->answered(item, std::move(answer)); });
}

void caller_session::refuse_unreadable(http::status status) {
    auto item = std::make_shared<call>();
    item->keep_alive = false;
    m_calls.push_back(item);
    http_response answer{status, 11};
    answered(item, std::move(answer));
}

void caller_session::answered(const std::shared_ptr<call>& item, http_response answer) {
    item->cancel = nullptr;
    item->answer = std::move(answer);
    write_next();
}

void caller_session::write_next() {
    if (m_writing || m_closed || m_closing || m_calls.empty() || !m_calls.front()->answer) {
        return;
    }
    call& front = *m_calls.front();
    m_writing = std::make_shared<http_response>(std::move(*front.answer));
    const bool is_last = m_calls.size() == 1 && !m_reading_request;
    const bool closes = !front.keep_alive || (m_stopping && is_last);
    m_writing->version(front.version);
    m_writing->keep_alive(!closes);
    if (!front.head) {
        m_writing->prepare_payload();
    }
    if (closes) {
        m_closing = true;
    }
    // The body of an answer to HEAD stays out, while its length header remains.
    http::async_write(m_socket, *m_writing,
                      [self = shared_from_this(), closes](boost::system::error_code error, std::size_t) {
                          self->written(error, closes);
                      });
}

void caller_session::written(boost::system::error_code error, bool closes) {
    m_writing.reset();
    m_last_activity = base::monotonic_now();
    if (!m_calls.empty()) {
        m_calls.pop_front();
    }
    if (error) {
        close();
        return;
    }
    if (closes) {
        boost::system::error_code ignored; // the caller may have closed already
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        m_watchdog.cancel();
        arm_watchdog();
        return;
    }
    m_room.cancel();
    write_next();
}

void caller_session::close() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored; // nothing is left to do with the socket
    m_socket.close(ignored);
    m_watchdog.cancel();
    m_room.cancel();
    for (const auto& item : m_calls) {
        if (item->cancel) {
            const auto cancel = std::move(item->cancel);
            cancel();
        }
    }
    m_calls.clear();
    if (m_ended) {
        m_ended();
    }
}

void caller_session::arm_watchdog() {
    const session_limits limits = m_limits();
    base::duration wait = limits.idle_timeout + idle_margin - (base::monotonic_now() - m_last_activity);
    if (m_closing) {
        wait = linger;
    } else if (m_reading_request) {
        wait = std::min(wait, limits.header_timeout);
    }
    m_watchdog.expires_after(std::max<base::duration>(wait, std::chrono::milliseconds{10}));
    m_watchdog.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->check_time();
        }
    });
}

void caller_session::check_time() {
    const auto now = base::monotonic_now();
    const session_limits limits = m_limits();
    const bool idle_too_long = is_idle() && now - m_last_activity >= limits.idle_timeout + idle_margin;
    if ((m_closing && !m_writing) || idle_too_long) {
        close();
        return;
    }
    const bool reading_stalled = m_reading_request && now - m_last_activity >= limits.idle_timeout;
    if (reading_stalled && m_calls.empty()) {
        close();
        return;
    }
    arm_watchdog();
}

} // namespace carawayway::gateway
