// Keeps idle connections and checks them before reuse.
#include "carawayway/gateway/backend_pool.hpp"

#include <sys/socket.h>

namespace carawayway::gateway {

namespace {

// Connections are reused only within this part of the server's idle timeout, so that the server does not
// close one just as a request is sent on it.
constexpr int usable_idle_percent = 70;

} // namespace

bool backend_pool::is_reusable(backend_connection& connection) {
    char byte = 0;
    const auto received = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::unique_ptr<backend_connection>
backend_pool::take(const std::string& server, base::duration maximum_idle_time, base::time_point now) {
    const auto found = m_idle_connections.find(server);
    if (found == m_idle_connections.end()) {
        return nullptr;
    }
    auto& idle = found->second;
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        const auto limit = std::min(maximum_idle_time, connection->idle_timeout * usable_idle_percent / 100);
        if (now - connection->last_used > limit) {
            idle.push_back(std::move(connection)); // the remaining connections have been idle for longer
            return nullptr;
        }
        if (is_reusable(*connection)) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

void backend_pool::put(const std::string& server, std::unique_ptr<backend_connection> connection,
                       base::time_point now) {
    connection->last_used = now;
    connection->buffer.shrink_to_fit();
    m_idle_connections[server].push_back(std::move(connection));
}

void backend_pool::close_stale(base::time_point now) {
    for (auto item = m_idle_connections.begin(); item != m_idle_connections.end();) {
        std::erase_if(item->second, [now](const std::unique_ptr<backend_connection>& connection) {
            const auto limit = connection->idle_timeout * usable_idle_percent / 100;
            return now - connection->last_used > limit || !is_reusable(*connection);
        });
        item = item->second.empty() ? m_idle_connections.erase(item) : std::next(item);
    }
}

void backend_pool::close_all(const std::string& server) {
    m_idle_connections.erase(server);
}

std::size_t backend_pool::size() const {
    std::size_t count = 0;
    for (const auto& [server, idle] : m_idle_connections) {
        count += idle.size();
    }
    return count;
}

} // namespace carawayway::gateway
