// One connection from a caller: reads pipelined requests and writes the responses in request order.
#pragma once

#include "carawayway/gateway/wire_types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace carawayway::gateway {

using response_callback = std::function<void(http_response)>;

// Ends a request that has no response yet. At most one of the two is called.
struct request_control {
    std::function<void()> cancel; // the caller has disconnected
    std::function<void()> expire; // this process ends: responds before it returns
};

// Starts to handle a request received at the given time. The response callback is called once, after the
// handler has returned.
using request_handler = std::function<request_control(http_request, base::time_point, response_callback)>;

struct session_limits {
    std::uint32_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    base::duration header_timeout{};
    base::duration idle_timeout{};

    bool operator==(const session_limits&) const = default;
};

// What the sessions of one listener share.
struct session_policy {
    request_handler handler;
    std::function<session_limits()>
        limits; // asked for each request, since a new configuration may change them
    message_memory memory;
    // Returns the response to a request that is not handled, as there is no memory for it. The head may not
    // be whole.
    std::function<http_response(const http::fields& head)> refuse;
    // Whether a request may be read behind others of its connection that have no whole response yet.
    std::function<bool()> permits_pipelining = [] { return true; };
    // Runs when a connection is ended to make room for others, with the cause.
    std::function<void(std::string_view cause)> on_ended_early = [](std::string_view) {};
};

// What a connection holds while its caller keeps it waiting.
struct stalled_session {
    base::duration age{};  // since the caller has begun to do so
    std::size_t bytes = 0; // of messages

    bool operator==(const stalled_session&) const = default;
};

// Requests of callers that have no complete response yet.
struct unanswered_requests {
    std::size_t total = 0;
    std::size_t taken_after_stop = 0; // of `total`, read after the stop began
    std::size_t behind_others = 0;    // of `total`, not the first of their connection

    unanswered_requests& operator+=(const unanswered_requests& other);
    bool operator==(const unanswered_requests&) const = default;
};

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    // Requests of one connection that may be in progress at once; the session stops reading at this number.
    static constexpr std::size_t maximum_pipelined_requests = 16;

    // `on_closed` runs once.
    caller_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<const session_policy> policy,
                   std::function<void()> on_closed);

    void start();

    // Takes no request behind those in progress, and closes the connection after the response to the last
    // one, which carries "Connection: close". Without one in progress the next request is the last.
    void close_after_responses();
    // Ends all requests in progress with the responses that are left for them.
    void expire_requests();
    // Closes the connection if no request is in progress, unread or about to arrive on a new connection. One
    // that carries its last response is left to the caller, which may not have received it yet.
    void close_if_idle();

    unanswered_requests unanswered() const;

    // How long the connection has been idle. Nothing while a request is in progress, unread or about to
    // arrive on a new connection.
    std::optional<base::duration> idle_time(base::time_point now);
    // Nothing unless the caller has begun to send a request or to read a response, and has not finished.
    std::optional<stalled_session> stalled(base::time_point now) const;
    // Ends a connection whose caller keeps it waiting, to make room for others. A request that is not whole
    // is rejected, as it has not run.
    void give_way(std::string_view cause);
    // Closes a connection without a whole request, since there are too many.
    void close_for_others();

    bool is_idle() const { return m_pending_requests.empty() && !m_reading_request; }

private:
    struct pending_request {
        std::optional<http_response> response;
        request_control control;
        bool keep_alive = true; // as requested by the caller
        bool is_head = false;
        bool is_taken_after_stop = false;
        unsigned version = 11;
    };

    enum class read_result : std::uint8_t { complete, closed, rejected };
    // Why the request that is being read is not read further.
    enum class read_end : std::uint8_t { none, gives_way, too_slow };

    static boost::asio::awaitable<void> run(std::shared_ptr<caller_session> self);
    boost::asio::awaitable<read_result> read_request(std::optional<http_request>& request);
    boost::asio::awaitable<bool> read_some();
    boost::asio::awaitable<void> wait_for_response();
    static boost::asio::awaitable<void> serve(std::shared_ptr<caller_session> self);
    void end_reading(read_end reason);
    bool is_request_too_slow(base::time_point now, const session_limits& limits) const;
    void write_some();
    boost::asio::awaitable<void> watch_for_disconnect();
    bool has_caller_left();
    bool has_hung_up();
    bool takes_another_request() const;
    bool expects_request();
    boost::asio::awaitable<bool> send_continue_if_expected(http::request_parser<http::string_body>& parser);
    void dispatch(http_request request, base::time_point arrived);
    void reject(http_response response);
    void queue_response(const std::shared_ptr<pending_request>& item, http_response response);
    void write_next();
    void finish_write(boost::system::error_code error, bool closes);
    void close();
    void arm_watchdog();
    void check_timeouts();

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<const session_policy> m_policy;
    std::function<void()> m_on_closed;
    boost::asio::steady_timer m_watchdog;
    boost::asio::steady_timer m_pipeline_space; // cancelled when another pipelined request may be read
    boost::beast::flat_buffer m_buffer;
    std::deque<std::shared_ptr<pending_request>> m_pending_requests; // in order of arrival
    std::shared_ptr<http_response> m_writing;                        // null while no write is in progress
    // Of m_writing; null as long as that.
    std::shared_ptr<http::response_serializer<http::string_body>> m_serializer;
    bool m_closes_after_writing = false;
    base::time_point m_last_write_progress{};
    std::size_t m_request_bytes = 0; // reserved for the request that is being read
    bool m_has_whole_head = false;   // of that request
    read_end m_read_end = read_end::none;
    base::time_point m_last_activity{};
    base::time_point m_request_arrived{}; // when the first byte of the current request was read
    base::time_point m_request_started{}; // the same, but after it has waited for those before it
    bool m_reading_request = false;
    bool m_has_read_request = false; // at least one
    bool m_stopping = false;         // the response to the last request in progress closes the connection
    bool m_closing = false; // the closing response is being written or was written; no request is read
    bool m_closed = false;
};

} // namespace carawayway::gateway
