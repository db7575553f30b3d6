// HTTP listener for control messages of tests: `POST /control` with a JSON object, answered with a JSON
// object.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace stand_ins {

// Executes one control message and returns the fields of the reply. Throws std::exception on failure.
using control_handler = std::function<boost::json::object(const boost::json::object&)>;

// Parses the body, calls the handler and returns the reply: `{"ok":true,...}` or `{"ok":false,"error":TEXT}`.
std::string run_control(const control_handler& handler, std::string_view body);

class control_listener {
public:
    // Opens the port. Throws boost::system::system_error on failure. The handler runs on the executor.
    control_listener(const boost::asio::any_io_executor& executor,
                     const boost::asio::ip::tcp::endpoint& endpoint, control_handler handler);

    control_listener(const control_listener&) = delete;
    control_listener& operator=(const control_listener&) = delete;
    control_listener(control_listener&&) = delete;
    control_listener& operator=(control_listener&&) = delete;
    ~control_listener();

    boost::asio::ip::tcp::endpoint endpoint() const;

private:
    struct state;
    std::shared_ptr<state> m_state; // shared with the coroutines, which keep it alive
};

} // namespace stand_ins
