// Decides from failed and successful connections whether this gateway is partitioned from the backend
// servers.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace carawayway::placement {

enum class contact_state : std::uint8_t {
    held,
    doubtful, // several servers in a row have failed; a check is due or running
    lost,     // a check has reached no server either
};

// A connection that is open says nothing about new ones: a partition may spare the open connections. So only
// connections that were opened count as a sign of contact.
class server_contact {
public:
    // Different servers in a row that failed, after which contact is in doubt.
    static constexpr std::size_t failed_servers_until_doubt = 3;
    // Between checks while contact is lost.
    static constexpr base::duration check_interval = std::chrono::milliseconds{500};

    contact_state state() const { return m_state; }
    bool is_lost() const { return m_state == contact_state::lost; }
    // When the failures began; meaningful unless contact is held.
    base::time_point failing_since() const { return m_failing_since; }

    // Records a server that refused a connection or did not answer.
    void record_failure(const std::string& server, base::time_point now);
    // Records a connection that was opened. Returns whether contact had been lost.
    bool record_connection();

    // Whether connections should be opened now to find out if there is contact.
    bool is_check_due(base::time_point now) const;
    void begin_check() { m_is_checking = true; }
    // Records the end of a check that has reached no server. Returns whether contact is lost by it.
    bool record_failed_check(base::time_point now);
    // Records the end of a check that has reached a server. Returns whether contact had been lost.
    bool record_passed_check();

private:
    contact_state m_state = contact_state::held;
    bool m_is_checking = false;
    std::set<std::string> m_failed_servers; // since the last connection; empty unless contact is held
    base::time_point m_failing_since{};
    base::time_point m_next_check_at{};
};

} // namespace carawayway::placement
