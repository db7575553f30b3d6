// A report for operators: how this entry instance would handle a request of a client now, and why.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/engine/lookup_response.hpp"
#include "carawayway/shifting/entry_selector.hpp"
#include "carawayway/shifting/shift_limiter.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::engine {

enum class server_use : std::uint8_t {
    usable,
    no_free_slot,
    not_owned, // not owned by this entry instance
    draining,
    not_ready, // starting, or ejected after losses
    region_not_allowed,
};

struct explained_server {
    std::string name;
    std::string failure_domain;
    server_use use = server_use::not_owned;
    std::string reason; // empty if usable
    std::uint32_t usable_slots = 0;
    std::uint32_t in_flight = 0;

    bool operator==(const explained_server&) const = default;
};

// Another entry instance that the request could be sent to.
struct explained_candidate {
    shifting::entry_summary summary;
    shifting::region_crossing crossing = shifting::region_crossing::serves_home_region;
    std::string refusal; // why it would not be chosen; empty if it may be chosen

    bool operator==(const explained_candidate&) const = default;
};

struct explain_report {
    std::optional<base::error_kind> error; // if set, there is nothing to explain
    std::string detail;
    std::string entry;
    std::int64_t revision = 0;
    std::string service;
    std::string client_address;
    std::string home_region;          // empty if no client block contains the address
    std::vector<lookup_entry> lookup; // most preferred first
    std::vector<explained_server> servers;
    std::vector<explained_candidate> candidates;
    // Absent if no request was counted for this service and home region. The cap does not apply to clients
    // without a home region.
    std::optional<shifting::shift_status> shift;

    bool operator==(const explain_report&) const = default;
};

} // namespace carawayway::engine
