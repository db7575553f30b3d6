// Tracks which entry instances exist and which are alive, from heartbeats, relayed heartbeat counters and
// failed connection attempts.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawayway::membership {

enum class member_status : std::uint8_t {
    alive,
    suspected,       // no progress for the suspicion time, or none seen yet
    paused,          // accepts connections but does not complete the handshake; may resume
    dead_certain,    // its connections are refused
    dead_by_silence, // no progress for the silence limit; may still resume
};

std::string_view to_string(member_status status);

constexpr bool is_dead(member_status status) {
    return status == member_status::dead_certain || status == member_status::dead_by_silence;
}

// How an attempt to connect to a member failed. Only a refused connection proves that the process is gone.
enum class contact_failure : std::uint8_t { refused, timed_out, handshake_timed_out };

struct member_settings {
    base::duration suspect_after = std::chrono::milliseconds(1000); // with a link: four heartbeat intervals
    // Longer without a link, because each heartbeat of a peer relays only some of the counters.
    base::duration suspect_unlinked_after = std::chrono::milliseconds(3000);
    // Ownership term plus the longest request timeout.
    base::duration silence_limit = std::chrono::milliseconds(5000);
    // A longer gap between ticks is a pause of this process.
    base::duration pause_limit = std::chrono::milliseconds(500);
    base::duration forget_after = std::chrono::minutes(10); // for dead members other than seeds
    std::size_t full_mesh_limit = 16; // up to this many entry instances are linked in a full mesh
    std::size_t delegates = 2;        // entry instances of a failure domain that keep links to another domain
};

struct member {
    wire::member_record record;
    std::uint64_t counter = 0; // highest known heartbeat counter of this incarnation
    // Last heartbeat from itself, or last growth of its counter relayed by a member of its failure domain.
    base::time_point direct_counter_at{};
    base::time_point last_progress{}; // last direct message or growth of the relayed counter
    base::time_point status_since{};
    member_status status = member_status::suspected;
    wire::running_state running = wire::running_state::running;
    bool seed = false;           // configured; never removed
    bool linked = false;         // a link to this incarnation is up, so a relayed counter cannot replace it
    bool has_progressed = false; // progress of this incarnation was seen
    bool contact_failed = false; // an attempt of this process to connect failed since the last progress
};

struct member_change {
    std::string name;
    member_status before = member_status::suspected;
    member_status after = member_status::suspected;

    bool operator==(const member_change&) const = default;
};

// The counters that one round of heartbeats relays.
struct relay_counters {
    // For peers of the own failure domain: counters of other domains that came directly or from a member of
    // that domain, and one counter of the own domain in case a link inside it is broken.
    std::vector<wire::relayed_counter> for_own_domain;
    std::vector<wire::relayed_counter> for_other_domains; // counters of the own domain
};

class member_table {
public:
    using member_map = std::map<std::string, member, std::less<>>;

    member_table(wire::member_record self, member_settings settings, base::time_point now);

    // The limit depends on the longest timeout in the policy.
    void set_silence_limit(base::duration limit) { m_settings.silence_limit = limit; }

    // The limit follows the heartbeat interval, which grows with the number of links.
    void set_suspect_after(base::duration limit) { m_settings.suspect_after = limit; }

    void add_seed(const wire::member_record& seed, base::time_point now);

    // Handles a record from the member list of a peer. True if the member was not known before.
    bool learn(const wire::member_record& record, base::time_point now);

    // Handles a new authenticated link to this incarnation, which replaces any other incarnation of the name.
    void link_up(const wire::member_record& record, base::time_point now);
    void link_down(std::string_view name);

    // To be called for each message received on a link from this incarnation.
    void message_received(std::string_view name, std::uint64_t incarnation, base::time_point now);

    void heartbeat(std::string_view name, std::uint64_t incarnation, const wire::heartbeat& message,
                   base::time_point now);

    void connect_failed(std::string_view name, contact_failure failure, base::time_point now);

    // Updates the statuses for the time that passed. If the time since the last tick exceeds the pause limit,
    // this process was paused, and the gap does not count as silence of the members. Returns the status
    // changes since the last tick.
    std::vector<member_change> tick(base::time_point now);

    const wire::member_record& self() const { return m_self; }
    const member_map& members() const { return m_members; } // all but this entry instance
    const member* find(std::string_view name) const;

    // Whether the member is known and not dead.
    bool is_live(std::string_view name) const;

    // The members that this entry instance must keep a link to. Dead members are included until they are
    // removed, so that the end of a partition is noticed. If not all delegates of another failure domain of
    // the own region are alive, a delegate links to all members of that domain: without direct contact,
    // silent delegates would look the same as the death of the whole domain.
    std::vector<wire::member_record> needed_links() const;

    // Whether `name` is one of the entry instances of its failure domain that keep links to the other failure
    // domains of their region. `name` may be this entry instance.
    bool is_region_delegate(std::string_view name) const;

    // The records of this entry instance and of all members that are not dead, to be sent to peers.
    wire::member_list member_list() const;

    // Selects the counters of alive members for one round of heartbeats, round-robin and at most `limit` per
    // list.
    relay_counters next_counters_to_relay(std::size_t limit);

private:
    struct relayed_incarnation {
        std::uint64_t incarnation = 0;
        std::uint64_t counter = 0;
    };

    member& insert(const wire::member_record& record, base::time_point now);
    void replace_incarnation(member& entry, const wire::member_record& record, base::time_point now);
    void record_progress(member& entry, base::time_point now);
    void set_status(member& entry, member_status status, base::time_point now);
    void apply_relayed_counter(const member& sender, const wire::relayed_counter& message,
                               base::time_point now);
    template <class Condition>
    void add_counters(std::vector<wire::relayed_counter>& counters, std::string& cursor, std::size_t limit,
                      Condition condition) const;
    const std::vector<const wire::member_record*>& delegates_of(std::string_view domain,
                                                                std::string_view key) const;
    std::vector<const wire::member_record*> choose_delegates(std::string_view domain,
                                                             std::string_view key) const;
    void add_domain_records(std::vector<wire::member_record>& records, std::string_view domain) const;
    bool is_delegate(std::string_view name, std::string_view domain, std::string_view key) const;

    wire::member_record m_self;
    member_settings m_settings;
    member_map m_members;
    // Other incarnations seen in relayed counters, with no growth yet.
    std::map<std::string, relayed_incarnation, std::less<>> m_relayed_incarnations;
    std::set<std::pair<std::string, std::uint64_t>> m_replaced_incarnations; // known to be gone
    std::vector<member_change> m_changes;                                    // since the last tick
    base::time_point m_last_tick;
    // Cache by failure domain and rendezvous key; cleared whenever a member or its status changes.
    mutable std::map<std::pair<std::string, std::string>, std::vector<const wire::member_record*>>
        m_delegates;
    // Round-robin positions: the member whose counter was selected last, per kind of counter and receiver.
    std::string m_own_domain_cursor;
    std::string m_other_domains_cursor;
    std::string m_for_other_domains_cursor;
};

} // namespace carawayway::membership
