// The state of an entry instance as reported to operators.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/shifting/shift_limiter.hpp"
#include "carawayway/steering/server_spec.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::engine {

enum class member_reach : std::uint8_t { reachable, not_reachable };

// An entry instance of the deployment as the reporting one sees it. The report includes itself.
struct member_report {
    std::string name;
    std::string failure_domain;
    std::string region;
    std::string status;
    std::int64_t revision = 0; // policy revision last received from it; 0: none
    member_reach reach = member_reach::not_reachable;

    bool operator==(const member_report&) const = default;
};

struct service_report {
    std::string name;
    std::uint32_t usable_slots = 0; // of the servers that this entry instance owns
    std::uint32_t free_slots = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::vector<steering::server_status> servers;
    std::vector<std::string> draining_servers;

    bool operator==(const service_report&) const = default;
};

struct status_report {
    std::string entry;
    std::string failure_domain;
    std::string region;
    std::string state;
    std::uint64_t incarnation = 0;
    std::int64_t revision = 0; // of the policy in force; 0: none
    std::string policy_document;
    std::optional<std::string> not_ready_reason; // absent if ready for callers
    std::vector<member_report> members;
    std::vector<service_report> services;
    std::vector<shifting::shift_status> shifts;

    bool operator==(const status_report&) const = default;
};

} // namespace carawayway::engine
