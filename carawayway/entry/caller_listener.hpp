// HTTP towards callers: look-ups, requests, health and readiness. Runs on the caller thread.
#pragma once

#include "carawayway/config/instance_settings.hpp"
#include "carawayway/entry/caller_event.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace carawayway::entry {

struct listener_limits {
    std::uint32_t connections = 0;
    std::uint32_t header_bytes = 0;
    std::uint32_t body_bytes = 0;
    base::duration idle_timeout{};

    bool operator==(const listener_limits&) const = default;
};

class caller_listener {
public:
    // Returns false when the steering thread cannot take the event now.
    using submit_function = std::function<bool(caller_event)>;

    caller_listener(boost::asio::io_context& context, listener_limits limits, submit_function submit);
    ~caller_listener();
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;
    caller_listener(caller_listener&&) = delete;
    caller_listener& operator=(caller_listener&&) = delete;

    // Binds and starts to accept. Throws boost::system::system_error when the address cannot be bound.
    config::socket_address listen(const config::socket_address& address);

    void deliver(caller_reply reply);
    void stop_accepting();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation; // sessions keep it alive until they end
};

} // namespace carawayway::entry
