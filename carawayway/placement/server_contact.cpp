// State transitions of the contact to backend servers.
#include "carawayway/placement/server_contact.hpp"

namespace carawayway::placement {

void server_contact::record_failure(const std::string& server, base::time_point now) {
    if (m_state != contact_state::held) {
        return;
    }
    if (m_failed_servers.empty()) {
        m_failing_since = now;
    }
    m_failed_servers.insert(server);
    if (m_failed_servers.size() >= failed_servers_until_doubt) {
        m_failed_servers.clear();
        m_state = contact_state::doubtful;
        m_next_check_at = now;
    }
}

bool server_contact::record_connection() {
    const bool was_lost = is_lost();
    m_state = contact_state::held;
    m_failed_servers.clear();
    return was_lost;
}

bool server_contact::is_check_due(base::time_point now) const {
    return m_state != contact_state::held && !m_is_checking && now >= m_next_check_at;
}

bool server_contact::record_failed_check(base::time_point now) {
    m_is_checking = false;
    m_next_check_at = now + check_interval;
    if (m_state != contact_state::doubtful) {
        return false; // a connection was opened meanwhile, or contact is lost already
    }
    m_state = contact_state::lost;
    return true;
}

bool server_contact::record_passed_check() {
    m_is_checking = false;
    return record_connection();
}

} // namespace carawayway::placement
