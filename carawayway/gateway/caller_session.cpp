// Reads requests from a caller's connection and writes the responses.
#include "carawayway/gateway/caller_session.hpp"

#include "carawayway/base/log.hpp"
#include "carawayway/gateway/message_headers.hpp"
#include "carawayway/net/message_limits.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <poll.h>
#include <sys/socket.h>

namespace carawayway::gateway {

namespace {

constexpr std::size_t read_chunk_bytes = 4096;

// An idle connection is kept longer than the idle timeout that callers know, so that it is not closed just as
// a request is sent on it.
constexpr base::duration idle_margin = std::chrono::seconds{1};

// From the start of a connection to the caller's first request.
constexpr base::duration first_request_time = std::chrono::milliseconds{500};

// A whole request takes no longer; that of a caller with the longest deadline that is in use, 15 s, is of no
// use after it.
constexpr base::duration longest_request_time = std::chrono::seconds{60};

// A caller that reads nothing of its response for this long does not want it.
constexpr base::duration longest_write_stall = std::chrono::seconds{60};

// Between two looks at the limits of a connection.
constexpr base::duration shortest_check_interval = std::chrono::milliseconds{250};

// FIXME: Progress is what the kernel takes; it may take no more for seconds from a caller that reads slowly.
// A caller that reads slowly is not ended before this, even when others find no memory.
constexpr base::duration slow_reader_patience = std::chrono::seconds{3};

// Time for the caller to close its side after the last response.
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

caller_session::caller_session(boost::asio::ip::tcp::socket socket,
                               std::shared_ptr<const session_policy> policy, std::function<void()> on_closed)
    : m_socket(std::move(socket)), m_policy(std::move(policy)), m_on_closed(std::move(on_closed)),
      m_watchdog(m_socket.get_executor()), m_pipeline_space(m_socket.get_executor()) {}

void caller_session::start() {
    m_last_activity = base::monotonic_now();
    boost::asio::co_spawn(m_socket.get_executor(), run(shared_from_this()), boost::asio::detached);
    arm_watchdog();
}

void caller_session::close_after_responses() {
    m_stopping = true;
}

void caller_session::expire_requests() {
    const auto requests = m_pending_requests; // a copy, since responses may change the original
    for (const auto& item : requests) {
        if (item->control.expire) {
            const auto expire = std::move(item->control.expire);
            expire();
        }
    }
}

void caller_session::close_if_idle() {
    if (is_idle() && !m_writing && !m_closing && !expects_request()) {
        close();
    }
}

unanswered_requests& unanswered_requests::operator+=(const unanswered_requests& other) {
    total += other.total;
    taken_after_stop += other.taken_after_stop;
    behind_others += other.behind_others;
    return *this;
}

unanswered_requests caller_session::unanswered() const {
    unanswered_requests result;
    for (const auto& item : m_pending_requests) {
        result += {1, item->is_taken_after_stop ? 1U : 0U, item == m_pending_requests.front() ? 0U : 1U};
    }
    return result;
}

// An exception, for example when no memory can be allocated, ends the connection and not the process.
boost::asio::awaitable<void> caller_session::run(std::shared_ptr<caller_session> self) {
    try {
        co_await serve(self);
    } catch (const std::exception& error) {
        self->close();
        base::log(base::log_level::error, "connection-failed", {{"reason", error.what()}});
        self->m_policy->on_ended_early("exception");
    }
}

boost::asio::awaitable<void> caller_session::serve(std::shared_ptr<caller_session> self) {
    while (!self->m_closed && !self->m_closing) {
        if (self->m_pending_requests.size() >= maximum_pipelined_requests) {
            co_await self->wait_for_response();
            continue;
        }
        std::optional<http_request> request;
        const read_result end = co_await self->read_request(request);
        self->m_reading_request = false;
        if (end == read_result::closed) {
            self->close();
            break;
        }
        if (end == read_result::complete && self->has_caller_left()) {
            self->close();
            break;
        }
        if (end == read_result::complete && !self->m_closing) {
            const bool last = !request->keep_alive();
            self->dispatch(std::move(*request), self->m_request_arrived);
            if (last) {
                break;
            }
        }
        if (end == read_result::rejected) {
            break;
        }
    }
    co_await self->watch_for_disconnect();
}

// Reads and discards until the caller disconnects, so that its last requests can be cancelled.
boost::asio::awaitable<void> caller_session::watch_for_disconnect() {
    while (!m_closed) {
        const bool open = co_await read_some();
        if (!open) {
            close();
        }
        m_buffer.clear();
    }
}

// Whether the connection was closed behind the request that was read last, as after a delay on the way or a
// pause of this process.
bool caller_session::has_caller_left() {
    char byte = 0;
    const auto received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// Whether the caller has closed its side, also behind bytes that are unread.
bool caller_session::has_hung_up() {
    pollfd state{m_socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// Whether a request is unread, or the caller has just connected to send one.
bool caller_session::expects_request() {
    const bool is_new = !m_has_read_request && base::monotonic_now() - m_last_activity < first_request_time;
    boost::system::error_code error;
    return is_new || (m_socket.available(error) > 0 && !error);
}

// A request that is not taken is read and discarded: the caller sends it again, as it came behind a response
// that closes the connection.
bool caller_session::takes_another_request() const {
    const bool is_last_being_written = m_writing && m_pending_requests.size() == 1;
    return !m_closing && (!m_stopping || m_pending_requests.empty() || is_last_being_written);
}

boost::asio::awaitable<bool> caller_session::read_some() {
    boost::system::error_code error;
    const std::size_t count = co_await m_socket.async_read_some(
        m_buffer.prepare(read_chunk_bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
    m_buffer.commit(count);
    co_return !error && !m_closed;
}

// Until a response was written as a whole, or the connection is closed. Nothing is read meanwhile, so that
// the end of the connection has to be looked for.
boost::asio::awaitable<void> caller_session::wait_for_response() {
    boost::system::error_code woken;
    while (!woken && !m_closed) {
        m_pipeline_space.expires_after(shortest_check_interval);
        co_await m_pipeline_space.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
        if (!m_closed && has_hung_up()) {
            close();
        }
    }
}

boost::asio::awaitable<caller_session::read_result>
caller_session::read_request(std::optional<http_request>& request) {
    const session_limits limits = m_policy->limits();
    message_memory::reservation memory(m_policy->memory, message_memory::message_kind::request);
    http::request_parser<http::string_body> parser;
    net::chunk_extension_limit extension_limit(parser);
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    parser.eager(true);
    bool header_seen = false;
    bool is_watched = false;
    while (!parser.is_done()) {
        if (m_buffer.size() == 0 || m_reading_request) {
            bool open = false;
            if (m_read_end == read_end::none) {
                open = co_await read_some();
            }
            if (m_read_end != read_end::none && !m_closed && !m_closing) {
                reject(m_read_end == read_end::too_slow ? http_response{http::status::request_timeout, 11}
                                                        : m_policy->refuse(parser.get()));
                co_return read_result::rejected;
            }
            if (!open) {
                co_return read_result::closed;
            }
        }
        if (!m_reading_request) {
            m_request_arrived = base::monotonic_now();
        }
        while (!m_reading_request && !m_closed && !m_pending_requests.empty() &&
               !m_policy->permits_pipelining()) {
            co_await wait_for_response();
        }
        if (m_closed) {
            co_return read_result::closed;
        }
        if (!takes_another_request()) {
            co_return read_result::rejected;
        }
        m_last_activity = base::monotonic_now();
        if (!m_reading_request) {
            m_reading_request = true;
            m_has_read_request = true;
            m_request_started = m_last_activity;
            m_has_whole_head = false;
            m_request_bytes = 0;
        }
        boost::system::error_code error;
        while (m_buffer.size() > 0 && !parser.is_done() && !error) {
            m_buffer.consume(parser.put(m_buffer.data(), error));
        }
        if (error == http::error::need_more) {
            // The line before a chunk, and the trailer, may take as much as a head.
            const bool is_too_large = m_buffer.size() > limits.header_bytes;
            error = is_too_large ? make_error_code(http::error::header_limit) : boost::system::error_code{};
        }
        if (error) {
            reject(http_response{status_of(error), 11});
            co_return read_result::rejected;
        }
        // A body is reserved as a whole by its announced length.
        const auto body_bytes = std::max<std::size_t>(
            parser.get().body().size(), parser.is_header_done() ? parser.content_length().value_or(0) : 0);
        if (!memory.try_resize(memory_of(parser.get()) + body_bytes + m_buffer.size())) {
            reject(m_policy->refuse(parser.get()));
            co_return read_result::rejected;
        }
        m_request_bytes = memory.bytes();
        m_has_whole_head = parser.is_header_done();
        if (!parser.is_done() && !is_watched) { // until now the watchdog has waited for an idle connection
            is_watched = true;
            m_watchdog.cancel();
            arm_watchdog();
        }
        if (parser.is_header_done() && !header_seen) {
            header_seen = true;
            const bool open = co_await send_continue_if_expected(parser);
            if (!open) {
                co_return read_result::closed;
            }
        }
    }
    request.emplace(parser.release(), std::move(memory));
    co_return read_result::complete;
}

// Sends "100 Continue" to a caller that expects it before sending the body.
boost::asio::awaitable<bool>
caller_session::send_continue_if_expected(http::request_parser<http::string_body>& parser) {
    if (parser.is_done() || parser.get()[http::field::expect] != "100-continue" ||
        !m_pending_requests.empty()) {
        co_return true;
    }
    static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code error;
    co_await boost::asio::async_write(m_socket, boost::asio::buffer(continue_response),
                                      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    co_return !error;
}

void caller_session::dispatch(http_request request, base::time_point arrived) {
    auto item = std::make_shared<pending_request>();
    item->keep_alive = request.keep_alive();
    item->is_head = request.method() == http::verb::head;
    item->version = request.version();
    item->is_taken_after_stop = m_stopping;
    m_pending_requests.push_back(item);
    const auto self = shared_from_this();
    item->control = m_policy->handler(std::move(request), arrived, [self, item](http_response response) {
        self->queue_response(item, std::move(response));
    });
}

// Responds to a request that is not handled, behind those in progress, and closes the connection.
void caller_session::reject(http_response response) {
    auto item = std::make_shared<pending_request>();
    item->keep_alive = false;
    m_pending_requests.push_back(item);
    queue_response(item, std::move(response));
}

void caller_session::queue_response(const std::shared_ptr<pending_request>& item, http_response response) {
    item->control = {};
    item->response = std::move(response);
    write_next();
}

void caller_session::write_next() {
    if (m_writing || m_closed || m_closing || m_pending_requests.empty() ||
        !m_pending_requests.front()->response) {
        return;
    }
    pending_request& front = *m_pending_requests.front();
    m_writing = std::make_shared<http_response>(std::move(*front.response));
    const bool closes = !front.keep_alive || (m_stopping && m_pending_requests.size() == 1);
    m_writing->version(front.version);
    m_writing->keep_alive(!closes);
    if (!front.is_head) {
        m_writing->prepare_payload();
    }
    if (closes) {
        m_closing = true;
    }
    m_closes_after_writing = closes;
    m_last_write_progress = base::monotonic_now();
    // A response to HEAD has no body but keeps its Content-Length header.
    m_serializer = std::make_shared<http::response_serializer<http::string_body>>(*m_writing);
    write_some();
}

// Writes in parts, so that a caller that reads nothing can be told from one that reads slowly.
void caller_session::write_some() {
    http::async_write_some(m_socket, *m_serializer,
                           [self = shared_from_this(), writing = m_writing,
                            serializer = m_serializer](boost::system::error_code error, std::size_t) {
                               self->m_last_write_progress = base::monotonic_now();
                               if (error || serializer->is_done()) {
                                   self->finish_write(error, self->m_closes_after_writing);
                               } else {
                                   self->write_some();
                               }
                           });
}

std::optional<base::duration> caller_session::idle_time(base::time_point now) {
    const bool may_be_closed = is_idle() && !m_writing && !m_closed && !m_closing && !expects_request();
    return may_be_closed ? std::optional(now - m_last_activity) : std::nullopt;
}

std::optional<stalled_session> caller_session::stalled(base::time_point now) const {
    if (m_closed || m_read_end != read_end::none) {
        return std::nullopt;
    }
    constexpr std::size_t connection_bytes = 1024; // at least, also without a body
    std::size_t bytes = connection_bytes + (m_reading_request ? m_request_bytes : 0);
    for (const auto& item : m_pending_requests) {
        bytes += item->response ? item->response->body().size() : 0;
    }
    if (m_writing) {
        const auto age = now - m_last_write_progress;
        bytes += m_writing->body().size();
        return age >= slow_reader_patience ? std::optional(stalled_session{age, bytes}) : std::nullopt;
    }
    if (m_reading_request && m_pending_requests.empty()) {
        return stalled_session{now - m_request_started, bytes};
    }
    return std::nullopt;
}

void caller_session::give_way(std::string_view cause) {
    m_policy->on_ended_early(cause);
    if (m_reading_request && m_pending_requests.empty() && !m_closing) {
        end_reading(read_end::gives_way);
        return;
    }
    close();
}

void caller_session::close_for_others() {
    m_policy->on_ended_early("idle");
    close();
}

void caller_session::end_reading(read_end reason) {
    m_read_end = reason;
    boost::system::error_code ignored; // the read has ended already
    m_socket.cancel(ignored);
}

bool caller_session::is_request_too_slow(base::time_point now, const session_limits& limits) const {
    if (!m_reading_request || !m_pending_requests.empty() || m_closing) {
        return false;
    }
    const auto age = now - m_request_started;
    return age >= longest_request_time || (!m_has_whole_head && age >= limits.header_timeout);
}

void caller_session::finish_write(boost::system::error_code error, bool closes) {
    m_writing.reset();
    m_serializer.reset();
    m_last_activity = base::monotonic_now();
    if (!m_pending_requests.empty()) {
        m_pending_requests.pop_front();
    }
    if (error) {
        close();
        return;
    }
    m_pipeline_space.cancel();
    if (closes) {
        boost::system::error_code ignored; // the caller may have closed the connection already
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        m_watchdog.cancel();
        arm_watchdog();
        return;
    }
    write_next();
}

void caller_session::close() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored; // the socket is discarded in any case
    m_socket.close(ignored);
    m_watchdog.cancel();
    m_pipeline_space.cancel();
    for (const auto& item : m_pending_requests) {
        if (item->control.cancel) {
            const auto cancel = std::move(item->control.cancel);
            cancel();
        }
    }
    m_pending_requests.clear();
    if (m_on_closed) {
        m_on_closed();
    }
}

void caller_session::arm_watchdog() {
    const session_limits limits = m_policy->limits();
    base::duration wait = limits.idle_timeout + idle_margin - (base::monotonic_now() - m_last_activity);
    if (m_closing) {
        wait = linger;
    } else if (m_reading_request) {
        wait = std::min(wait, limits.header_timeout);
    }
    m_watchdog.expires_after(std::max(wait, shortest_check_interval));
    m_watchdog.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->check_timeouts();
        }
    });
}

void caller_session::check_timeouts() {
    const auto now = base::monotonic_now();
    const session_limits limits = m_policy->limits();
    const bool idle_too_long = is_idle() && now - m_last_activity >= limits.idle_timeout + idle_margin;
    if ((m_closing && !m_writing) || idle_too_long) {
        close();
        return;
    }
    if (m_writing && now - m_last_write_progress >= longest_write_stall) {
        m_policy->on_ended_early("response-not-read");
        close();
        return;
    }
    const bool has_stalled =
        m_reading_request && m_pending_requests.empty() && now - m_last_activity >= limits.idle_timeout;
    if (m_read_end == read_end::none && (has_stalled || is_request_too_slow(now, limits))) {
        m_policy->on_ended_early("request-too-slow");
        end_reading(read_end::too_slow);
    }
    arm_watchdog();
}

} // namespace carawayway::gateway
