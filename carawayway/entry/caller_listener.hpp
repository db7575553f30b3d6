// HTTP server for callers: look-ups, requests, health and readiness. Runs on the caller thread.
#pragma once

#include "carawayway/config/instance_settings.hpp"
#include "carawayway/entry/caller_event.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace carawayway::entry {

class caller_listener {
public:
    // Returns false when the steering thread has too many events waiting to accept this one.
    using submit_function = std::function<bool(caller_event)>;

    caller_listener(boost::asio::io_context& context, const config::instance_settings& settings,
                    submit_function submit);
    ~caller_listener();
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;
    caller_listener(caller_listener&&) = delete;
    caller_listener& operator=(caller_listener&&) = delete;

    // Binds the address, starts accepting connections and returns the bound address. Throws
    // boost::system::system_error when the address cannot be bound.
    config::socket_address listen(const config::socket_address& address);

    void deliver(caller_reply reply);

    // Stops accepting connections and calls `done` once all responses are written.
    void finish(std::function<void()> done);

private:
    class implementation;
    // Outlives all connections, which end with the event loop.
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawayway::entry
