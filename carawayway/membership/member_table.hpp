// Which entry instances exist and which of them are alive, from heartbeats, relayed counters and evidence of
// connection attempts.
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
    suspected,       // no progress for a while, or not yet heard of
    paused,          // accepts connections without answering; may resume
    dead_certain,    // its connections were refused, or another incarnation replaced it
    dead_by_silence, // no progress for the silence limit; may still resume
};

std::string_view to_string(member_status status);

constexpr bool is_dead(member_status status) {
    return status == member_status::dead_certain || status == member_status::dead_by_silence;
}

// What a failed attempt to connect says about a process.
enum class contact_failure : std::uint8_t { refused, timed_out, handshake_timed_out };

struct member_settings {
    base::duration suspect_after = std::chrono::milliseconds(1000); // with a link: four heartbeat intervals
    // Without a link: each heartbeat of a peer relays only some counters.
    base::duration suspect_unlinked_after = std::chrono::milliseconds(3000);
    base::duration silence_limit =
        std::chrono::milliseconds(5000);                         // ownership term + longest request timeout
    base::duration pause_limit = std::chrono::milliseconds(500); // longer gaps between ticks are own pauses
    base::duration forget_after = std::chrono::minutes(10);      // dead members that are no seeds
    std::size_t full_mesh_limit = 16; // up to this many entry instances, each keeps a link to each
    std::size_t delegates = 2;        // entry instances of a failure domain that keep links to another one
};

struct member {
    wire::member_record record;
    std::uint64_t counter = 0;     // highest heartbeat counter heard of this incarnation
    base::time_point first_hand{}; // last progress heard directly or from a member of its own failure domain
    base::time_point last_progress{}; // of the counter, direct or relayed
    base::time_point status_since{};
    member_status status = member_status::suspected;
    wire::running_state running = wire::running_state::running;
    bool seed = false;           // never forgotten
    bool linked = false;         // a link to this incarnation is up; relayed news cannot replace it
    bool has_progressed = false; // progress of this incarnation was seen
    bool contact_failed = false; // an own attempt to connect failed since the last progress
};

struct member_change {
    std::string name;
    member_status before = member_status::suspected;
    member_status after = member_status::suspected;

    bool operator==(const member_change&) const = default;
};

// What one round of heartbeats relays, at most the limit in each list.
struct relay_counters {
    // For peers of the own failure domain: counters of other domains that were heard here without a detour,
    // and one of the own domain in case a link inside it is broken.
    std::vector<wire::relayed_counter> for_own_domain;
    std::vector<wire::relayed_counter> for_other_domains; // for other peers: counters of the own domain
};

class member_table {
public:
    using member_map = std::map<std::string, member, std::less<>>;

    member_table(wire::member_record self, member_settings settings, base::time_point now);

    // The silence limit follows the policy's longest timeout.
    void set_silence_limit(base::duration limit) { m_settings.silence_limit = limit; }

    // Follows the heartbeat interval, which grows with the number of links.
    void set_suspect_after(base::duration limit) { m_settings.suspect_after = limit; }

    void add_seed(const wire::member_record& seed, base::time_point now);

    // A record from a peer's member list. True when the member was not known before.
    bool learn(const wire::member_record& record, base::time_point now);

    // An authenticated link to this incarnation; it replaces any other incarnation of the name.
    void link_up(const wire::member_record& record, base::time_point now);
    void link_down(std::string_view name);

    // Any message that came directly from this incarnation.
    void message_received(std::string_view name, std::uint64_t incarnation, base::time_point now);

    void heartbeat(std::string_view name, std::uint64_t incarnation, const wire::heartbeat& message,
                   base::time_point now);

    void connect_failed(std::string_view name, contact_failure evidence, base::time_point now);

    // Applies elapsed time. A gap since the last tick above the pause limit is a pause of this process: the
    // silence of the others is then not counted. Returns what changed since the last tick.
    std::vector<member_change> tick(base::time_point now);

    const wire::member_record& self() const { return m_self; }
    const member_map& members() const { return m_members; } // without this entry instance
    const member* find(std::string_view name) const;

    // Dead members and unknown names are not live.
    bool live(std::string_view name) const;

    // The members that this entry instance must keep a link to; the dead are included as long as they are
    // known, so that a healed partition is noticed. When a failure domain of the own region has fewer live
    // members than delegates, a delegate links to all its members: without direct contact, the silence of its
    // delegates could not be told from the death of the whole domain.
    std::vector<wire::member_record> needed_links() const;

    // Whether `name` is one of the entry instances of its failure domain that keep links to the other failure
    // domains of their region. This entry instance may be asked about as well.
    bool region_delegate(std::string_view name) const;

    // All records including this entry instance, for a new link.
    wire::member_list member_list() const;

    // Takes the next counters of live members in turn, for one round of heartbeats to all peers.
    relay_counters next_counters_to_relay(std::size_t limit);

private:
    struct candidate {
        std::uint64_t incarnation = 0;
        std::uint64_t counter = 0;
    };

    member& insert(const wire::member_record& record, base::time_point now);
    void replace_incarnation(member& entry, const wire::member_record& record, base::time_point now);
    void progress(member& entry, base::time_point now);
    void set_status(member& entry, member_status status, base::time_point now);
    void relayed(const member& sender, const wire::relayed_counter& message, base::time_point now);
    template <class Condition>
    void add_counters(std::vector<wire::relayed_counter>& counters, std::string& turn, std::size_t limit,
                      Condition condition) const;
    const std::vector<const wire::member_record*>& delegates_of(std::string_view domain,
                                                                std::string_view key) const;
    std::vector<const wire::member_record*> choose_delegates(std::string_view domain,
                                                             std::string_view key) const;
    void add_domain(std::vector<wire::member_record>& records, std::string_view domain) const;
    bool delegate(std::string_view name, std::string_view domain, std::string_view key) const;

    wire::member_record m_self;
    member_settings m_settings;
    member_map m_members;
    std::map<std::string, candidate, std::less<>> m_candidates; // relayed incarnations without progress yet
    std::set<std::pair<std::string, std::uint64_t>> m_replaced; // incarnations that are known to be gone
    std::vector<member_change> m_changes;                       // since the last tick
    base::time_point m_last_tick;
    // By failure domain and key; emptied whenever a member or its status changes.
    mutable std::map<std::pair<std::string, std::string>, std::vector<const wire::member_record*>>
        m_delegates;
    // Where the turns of relayed counters stand.
    std::string m_own_domain_turn;
    std::string m_other_domains_turn;
    std::string m_outward_turn;
};

} // namespace carawayway::membership
