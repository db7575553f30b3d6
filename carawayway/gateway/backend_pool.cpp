// Keeping and checking of idle connections.
#include "carawayway/gateway/backend_pool.hpp"

#include <sys/socket.h>

namespace carawayway::gateway {

namespace {

// Part of the server's idle time-out for which a connection is used, so that it is not closed under a
// request.
constexpr int used_idle_percent = 70;

} // namespace

bool backend_pool::is_quiet(backend_connection& connection) {
    char byte = 0;
    const auto received = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::unique_ptr<backend_connection> backend_pool::take(const std::string& server, base::duration longest_idle,
                                                       base::time_point now) {
    const auto found = m_idle.find(server);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto& idle = found->second;
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        const auto limit = std::min(longest_idle, connection->idle_limit * used_idle_percent / 100);
        if (now - connection->last_used > limit) {
            idle.push_back(std::move(connection)); // the others are older still
            return nullptr;
        }
        if (is_quiet(*connection)) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

void backend_pool::put(const std::string& server, std::unique_ptr<backend_connection> connection,
                       base::time_point now) {
    connection->last_used = now;
    m_idle[server].push_back(std::move(connection));
}

void backend_pool::sweep(base::time_point now) {
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [now](const std::unique_ptr<backend_connection>& connection) {
            const auto limit = connection->idle_limit * used_idle_percent / 100;
            return now - connection->last_used > limit || !is_quiet(*connection);
        });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

void backend_pool::drop(const std::string& server) {
    m_idle.erase(server);
}

std::size_t backend_pool::size() const {
    std::size_t count = 0;
    for (const auto& [server, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

} // namespace carawayway::gateway
