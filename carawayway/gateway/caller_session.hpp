// One connection of a caller: reads requests, also several before the first is answered, and answers in
// order.
#pragma once

#include "carawayway/gateway/wire_types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace carawayway::gateway {

using answer_function = std::function<void(http_response)>;
using cancel_function = std::function<void()>;
// Starts to serve a request. The answer function is called once, not from within the call, unless the
// returned function is called first because the caller has left.
using serve_function = std::function<cancel_function(http_request, base::time_point, answer_function)>;

struct session_limits {
    std::uint32_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    base::duration header_timeout{};
    base::duration idle_timeout{};

    bool operator==(const session_limits&) const = default;
};

class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    // Requests of one connection in progress at once; reading pauses beyond.
    static constexpr std::size_t longest_pipeline = 16;

    // `limits` is asked for each request, since a new configuration may change them. `ended` runs once.
    caller_session(boost::asio::ip::tcp::socket socket, serve_function serve,
                   std::function<session_limits()> limits, std::function<void()> ended);

    void start();

    // From now on the last answer in progress closes the connection, and says so.
    void stop_after_answers();
    // Closes the connection if no request is in progress.
    void close_if_idle();

    bool is_idle() const { return m_calls.empty() && !m_reading_request; }

private:
    struct call {
        std::optional<http_response> answer;
        cancel_function cancel;
        bool keep_alive = true; // as the caller asked
        bool head = false;
        unsigned version = 11;
    };

    enum class read_end : std::uint8_t { complete, closed, refused };

    static boost::asio::awaitable<void> run(std::shared_ptr<caller_session> self);
    boost::asio::awaitable<read_end> read_request(std::optional<http_request>& request);
    boost::asio::awaitable<bool> read_more();
    boost::asio::awaitable<void> drain();
    boost::asio::awaitable<bool> allow_body(http::request_parser<http::string_body>& parser);
    void begin(http_request request, base::time_point arrived);
    void refuse_unreadable(http::status status);
    void answered(const std::shared_ptr<call>& item, http_response answer);
    void write_next();
    void written(boost::system::error_code error, bool closes);
    void close();
    void arm_watchdog();
    void check_time();

    boost::asio::ip::tcp::socket m_socket;
    serve_function m_serve;
    std::function<session_limits()> m_limits;
    std::function<void()> m_ended;
    boost::asio::steady_timer m_watchdog;
    boost::asio::steady_timer m_room; // cancelled when the pipeline has room again
    boost::beast::flat_buffer m_buffer;
    std::deque<std::shared_ptr<call>> m_calls; // in the order of the requests
    std::shared_ptr<http_response> m_writing;
    base::time_point m_last_activity{};
    base::time_point m_request_started{}; // when the first byte of the request that is being read arrived
    bool m_reading_request = false;
    bool m_stopping = false; // the next last answer closes the connection
    bool m_closing = false;  // an answer that closes the connection was written; nothing more is read
    bool m_closed = false;
};

} // namespace carawayway::gateway
