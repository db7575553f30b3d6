// HTTP towards callers: look-ups, requests, health and readiness. Runs on the caller thread.
#pragma once

#include "carawayway/config/instance_settings.hpp"
#include "carawayway/entry/caller_event.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace carawayway::entry {

class caller_listener {
public:
    // Returns false when the steering thread cannot take the event now.
    using submit_function = std::function<bool(caller_event)>;

    caller_listener(boost::asio::io_context& context, const config::instance_settings& settings,
                    submit_function submit);
    ~caller_listener();
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;
    caller_listener(caller_listener&&) = delete;
    caller_listener& operator=(caller_listener&&) = delete;

    // Binds and starts to accept. Throws boost::system::system_error when the address cannot be bound.
    config::socket_address listen(const config::socket_address& address);

    void deliver(caller_reply reply);

    // Calls `done` once every answer is written; accepts no new connections.
    void finish(std::function<void()> done);

private:
    class implementation;
    std::unique_ptr<implementation>
        m_implementation; // outlives all connections: those end with the event loop
};

} // namespace carawayway::entry
