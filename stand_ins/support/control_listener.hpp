// HTTP listener for test controls: `POST /control` with a JSON object, answered with a JSON object.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace stand_ins {

// Carries out one command. Throws std::exception for a command that it cannot carry out.
using control_handler = std::function<boost::json::object(const boost::json::object&)>;

// The reply to a control message: `{"ok":true,...}` or `{"ok":false,"error":TEXT}`.
std::string run_control(const control_handler& handler, std::string_view body);

class control_listener {
public:
    // Opens the port at once; throws boost::system::system_error when it cannot. The handler runs on the
    // executor.
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
    std::shared_ptr<state> m_state; // kept alive by its coroutines
};

} // namespace stand_ins
