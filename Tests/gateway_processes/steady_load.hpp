// Requests without pause to all gateways of a fleet.
#pragma once

#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace carawayway::gateway_processes {

// Sends look-ups for many objects through all gateways for as long as it exists.
class steady_load {
public:
    explicit steady_load(gateway_fleet& fleet) {
        for (std::size_t gateway = 0; gateway < fleet.gateway_count(); ++gateway) {
            m_senders.emplace_back([this, &fleet, gateway] {
                for (std::size_t request = 0; !m_ended; ++request) {
                    const auto object = std::to_string(request % objects);
                    fleet.send(gateway, "GET", "/read/" + object, object);
                }
            });
        }
    }
    steady_load(const steady_load&) = delete;
    steady_load(steady_load&&) = delete;
    steady_load& operator=(const steady_load&) = delete;
    steady_load& operator=(steady_load&&) = delete;
    ~steady_load() {
        m_ended = true;
        for (auto& sender : m_senders) {
            sender.join();
        }
    }

private:
    static constexpr std::size_t objects = 40;

    std::atomic<bool> m_ended = false;
    std::vector<std::thread> m_senders;
};

} // namespace carawayway::gateway_processes
