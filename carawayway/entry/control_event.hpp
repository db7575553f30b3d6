// Messages between the control thread and the steering thread. `token` identifies a query; its reply has the
// same token.
#pragma once

#include "carawayway/engine/effect.hpp"
#include "carawayway/engine/explain_report.hpp"
#include "carawayway/engine/instance_record.hpp"
#include "carawayway/engine/status_report.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace carawayway::entry {

struct policy_received {
    std::int64_t revision = 0;
    std::string document;
};

struct instances_received {
    std::vector<engine::instance_record> instances;
};

struct status_requested {
    std::uint64_t token = 0;
};

struct metrics_requested {
    std::uint64_t token = 0;
};

struct explain_requested {
    std::uint64_t token = 0;
    std::string service;
    std::string client_address;
};

struct stop_requested {};

using control_event = std::variant<policy_received, instances_received, status_requested, metrics_requested,
                                   explain_requested, stop_requested>;

struct status_ready {
    std::uint64_t token = 0;
    engine::status_report report;
};

struct metrics_ready {
    std::uint64_t token = 0;
    std::string text; // in the Prometheus text format
};

struct explain_ready {
    std::uint64_t token = 0;
    engine::explain_report report;
};

struct entry_stopped {};

using control_reply =
    std::variant<engine::set_store_watch, status_ready, metrics_ready, explain_ready, entry_stopped>;

} // namespace carawayway::entry
