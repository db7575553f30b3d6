// Dispatches control messages to the servers of the backend stand-in and collects their statistics.
#include "stand_ins/backend/backend_fleet.hpp"

#include "stand_ins/backend/backend_server.hpp"
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

class backend_fleet::implementation {
public:
    implementation(const std::vector<server_spec>& servers, backend_options options,
                   const tcp::endpoint& control)
        : m_options(std::move(options)), m_execution_log(m_options.history, m_options.on_event),
          m_control(m_io.executor(), control,
                    [this](const json::object& message) { return run_command(message); }) {
        for (const server_spec& spec : servers) {
            auto server = std::make_shared<backend_server>(m_io.executor(), spec, m_options, m_execution_log);
            m_addresses[spec.name] = to_address(server->spec().endpoint);
            m_servers[spec.name] = server;
            server->start();
        }
        m_io.start();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(implementation&&) = delete;

    ~implementation() { m_io.stop(); }

    std::string address(std::string_view server) const {
        const auto found = m_addresses.find(server);
        if (found == m_addresses.end()) {
            throw std::out_of_range("unknown server: " + std::string(server));
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
            return statistics();
        }
        const std::string name(message.at("server").as_string());
        if (name != "*") {
            const auto found = m_servers.find(name);
            if (found == m_servers.end()) {
                throw std::out_of_range("unknown server: " + name);
            }
            found->second->command(message);
            return {};
        }
        for (const auto& [server_name, server] : m_servers) {
            server->command(message);
        }
        return {};
    }

    json::object statistics() const {
        json::object servers;
        for (const auto& [name, server] : m_servers) {
            servers[name] = server->statistics();
        }
        json::object repeated;
        for (const auto& [id, count] : m_execution_log.executions()) {
            if (count > 1) {
                repeated[id] = count;
            }
        }
        return {{"servers", std::move(servers)}, {"repeated", std::move(repeated)}};
    }

    io_thread m_io; // declared first: the members below run on it and must be destroyed before it
    backend_options m_options;
    execution_log m_execution_log;
    std::map<std::string, std::shared_ptr<backend_server>, std::less<>> m_servers;
    // Constant after construction, so that address() needs no lock.
    std::map<std::string, std::string, std::less<>> m_addresses;
    control_listener m_control;
};

backend_fleet::backend_fleet(const std::vector<server_spec>& servers, backend_options options,
                             const tcp::endpoint& control)
    : m_implementation(std::make_unique<implementation>(servers, std::move(options), control)) {}

backend_fleet::backend_fleet(const std::vector<server_spec>& servers, backend_options options)
    : backend_fleet(servers, std::move(options), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {}

backend_fleet::~backend_fleet() = default;

std::string backend_fleet::address(std::string_view server) const {
    return m_implementation->address(server);
}

std::string backend_fleet::control_address() const {
    return m_implementation->control_address();
}

std::string backend_fleet::control(std::string_view message) {
    return m_implementation->control(message);
}

} // namespace stand_ins
