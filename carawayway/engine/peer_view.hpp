// Holds what is known about the other entry instances: links, load and incarnations. It makes no decisions.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/config/policy.hpp"
#include "carawayway/shifting/entry_selector.hpp"
#include "carawayway/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::engine {

// State of the incarnation that a request ID names.
enum class incarnation_state : std::uint8_t {
    linked,      // reachable over a link
    unreachable, // no link; may still be running
    gone,        // known to have ended
};

// State of the peer's slot after a call ended.
enum class slot_after_call : std::uint8_t {
    freed,     // the slot that the call used is free again
    uncertain, // the peer refused: it has fewer free slots than its summary shows
};

enum class link_status : std::uint8_t { down, up };

struct peer_limits {
    std::uint32_t requests_in_flight = 64;
    std::uint64_t bytes_in_flight = 4ULL << 20U;

    bool operator==(const peer_limits&) const = default;
};

class peer_view {
public:
    // The own location selects the round trip that is assumed for a peer until one is measured.
    peer_view(std::string own_failure_domain, std::string own_region);

    void set_limits(peer_limits limits) { m_limits = limits; }

    // A new incarnation marks the previous one as gone.
    void set_member(const std::string& entry, const std::string& failure_domain, const std::string& region,
                    std::uint64_t incarnation);
    void set_link(const std::string& entry, link_status status);
    void set_state(const std::string& entry, config::administrative_state state);
    // Records that the process with this incarnation is known to be dead.
    void mark_dead(const std::string& entry, std::uint64_t incarnation);
    void set_round_trip(const std::string& entry, base::duration measured);
    void set_summary(const std::string& entry, const wire::entry_summary& summary, base::time_point now);

    // Track the calls in flight to the peer and their bytes.
    void call_started(const std::string& entry, const std::string& service, std::size_t bytes);
    void call_ended(const std::string& entry, const std::string& service, std::size_t bytes,
                    slot_after_call slot);

    bool is_linked(const std::string& entry) const;
    std::string region_of(const std::string& entry) const; // empty if unknown
    bool has_capacity(const std::string& entry, std::size_t bytes) const;
    base::duration round_trip(const std::string& entry) const;
    incarnation_state state_of(const std::string& entry, std::uint64_t incarnation) const;

    // The linked entry instances whose summaries include the service.
    std::vector<shifting::entry_summary> summaries(const std::string& service, base::time_point now) const;

private:
    struct service_load {
        wire::service_summary summary;
        std::uint32_t calls_since_summary = 0; // calls sent since the summary whose slots are not free yet
    };

    struct peer {
        std::string failure_domain;
        std::string region;
        std::uint64_t incarnation = 0; // 0: unknown
        std::uint64_t dead_incarnation = 0;
        link_status link = link_status::down;
        config::administrative_state state = config::administrative_state::active;
        std::optional<base::duration> round_trip;
        base::time_point summary_time;
        std::map<std::string, service_load> services;
        std::uint32_t calls = 0;
        std::uint64_t bytes = 0;
    };

    const peer* find(const std::string& entry) const;

    std::string m_own_failure_domain;
    std::string m_own_region;
    peer_limits m_limits;
    std::map<std::string, peer> m_peers;
};

} // namespace carawayway::engine
