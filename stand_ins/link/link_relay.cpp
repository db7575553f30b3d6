// Dispatches control messages to the routes of the link stand-in and collects their statistics.
#include "stand_ins/link/link_relay.hpp"

#include "stand_ins/link/relay_route.hpp"
#include "stand_ins/support/address.hpp"
#include "stand_ins/support/control_listener.hpp"
#include "stand_ins/support/io_thread.hpp"

#include <boost/json.hpp>

#include <map>
#include <stdexcept>
#include <utility>

namespace stand_ins {

namespace json = boost::json;
using boost::asio::ip::tcp;

class link_relay::implementation {
public:
    implementation(const std::vector<route_spec>& routes, const tcp::endpoint& control)
        : m_control(m_io.executor(), control,
                    [this](const json::object& message) { return run_command(message); }) {
        for (const route_spec& spec : routes) {
            auto route = std::make_shared<relay_route>(m_io.executor(), spec);
            m_addresses[spec.name] = to_address(route->spec().listen);
            m_routes[spec.name] = route;
            route->start();
        }
        m_io.start();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    ~implementation() { m_io.stop(); }

    std::string address(std::string_view route) const {
        const auto found = m_addresses.find(route);
        if (found == m_addresses.end()) {
            throw std::out_of_range("unknown route: " + std::string(route));
        }
        return found->second;
    }

    std::string control_address() const { return to_address(m_control.endpoint()); }

    std::string control(std::string_view message) {
        return m_io.run([this, message] {
            return run_control([this](const json::object& command) { return run_command(command); }, message);
        });
    }

private:
    json::object run_command(const json::object& message) {
        if (message.contains("stats")) {
            json::object routes;
            for (const auto& [name, route] : m_routes) {
                routes[name] = route->statistics();
            }
            return {{"routes", std::move(routes)}};
        }
        const std::string name(message.at("route").as_string());
        if (name != "*") {
            const auto found = m_routes.find(name);
            if (found == m_routes.end()) {
                throw std::out_of_range("unknown route: " + name);
            }
            found->second->command(message);
            return {};
        }
        for (const auto& [route_name, route] : m_routes) {
            route->command(message);
        }
        return {};
    }

    io_thread m_io; // declared first: the members below run on it and must be destroyed before it
    std::map<std::string, std::shared_ptr<relay_route>, std::less<>> m_routes;
    // Constant after construction, so that address() needs no lock.
    std::map<std::string, std::string, std::less<>> m_addresses;
    control_listener m_control;
};

link_relay::link_relay(const std::vector<route_spec>& routes, const tcp::endpoint& control)
    : m_implementation(std::make_unique<implementation>(routes, control)) {}

link_relay::link_relay(const std::vector<route_spec>& routes)
    : link_relay(routes, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {}

link_relay::~link_relay() = default;

std::string link_relay::address(std::string_view route) const {
    return m_implementation->address(route);
}

std::string link_relay::control_address() const {
    return m_implementation->control_address();
}

std::string link_relay::control(std::string_view message) {
    return m_implementation->control(message);
}

} // namespace stand_ins
