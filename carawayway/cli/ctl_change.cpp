// `ctl drain`, `undrain` and `shift`. Also prints the result of a change and waits until it is in force.
#include "carawayway/cli/ctl_client.hpp"
#include "carawayway/config/value_text.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

DECLARE_bool(json);
DECLARE_bool(dry_run);
DEFINE_string(comment, "", "comment recorded with the change; empty: generated from the action");
DEFINE_bool(wait, false, "wait until the change is in force on every reachable entry instance");
DEFINE_int64(wait_ms, 30000, "longest wait with --wait, in milliseconds");
DEFINE_string(share, "",
              "largest additional share of a home region's traffic that may move in one window, 0 to 1");
DEFINE_string(window_ms, "", "window of the shift cap in milliseconds");
DEFINE_string(requests_per_second, "", "absolute shift cap over the whole system; none removes it");

namespace carawayway::cli {

namespace {

using operators::change_outcome;
using operators::change_reply;
using operators::policy_state;

constexpr auto poll_interval = std::chrono::milliseconds(200);

struct rollout_progress {
    std::size_t in_force = 0;
    std::size_t reachable = 0;
    std::vector<std::string> behind;
    std::vector<std::string> not_reachable;

    bool operator==(const rollout_progress&) const = default;
};

rollout_progress rollout_progress_of(const operators::status_reply& status, std::int64_t revision) {
    rollout_progress result;
    for (const auto& entry : status.entries) {
        if (entry->policy == policy_state::not_reachable) {
            result.not_reachable.push_back(entry->name);
            continue;
        }
        ++result.reachable;
        if (entry->revision >= revision) {
            ++result.in_force;
        } else {
            result.behind.push_back(entry->name);
        }
    }
    return result;
}

void print_rollout_progress(const rollout_progress& state, std::int64_t revision) {
    fmt::print(stderr, "revision {} is in force on {} of {} reachable entry instances", revision,
               state.in_force, state.reachable);
    if (!state.behind.empty()) {
        fmt::print(stderr, "; behind: {}", fmt::join(state.behind, ", "));
    }
    if (!state.not_reachable.empty()) {
        fmt::print(stderr, "; not reachable: {}", fmt::join(state.not_reachable, ", "));
    }
    fmt::print(stderr, "\n");
}

int wait_until_in_force(const ctl_client& client, std::int64_t revision) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(FLAGS_wait_ms);
    std::optional<rollout_progress> last;
    for (;;) {
        ctl_failure failure;
        const auto status = client.call<operators::status_reply>("Status", operators::status_request{},
                                                                 call_effect::reads, failure);
        if (status) {
            auto now = rollout_progress_of(*status, revision);
            if (now != last) {
                print_rollout_progress(now, revision);
            }
            last = std::move(now);
            if (last->in_force == last->reachable) {
                return to_int(exit_code::done);
            }
        }
        if (std::chrono::steady_clock::now() >= end) {
            fmt::print(
                stderr,
                "carawayway ctl: the change is written, but not confirmed to be in force everywhere: {}\n",
                status ? "--wait_ms has passed" : failure.text);
            return to_int(exit_code::outcome_unknown);
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

void print_change(const change_reply& reply) {
    switch (reply.outcome) {
    case change_outcome::written:
        fmt::print("written as revision {}, change {}\n", reply.revision, reply.change_id);
        break;
    case change_outcome::unchanged:
        fmt::print("unchanged: revision {}, change {}\n", reply.revision, reply.change_id);
        break;
    case change_outcome::would_change:
        fmt::print("valid; would replace revision {}\n", reply.previous_revision);
        break;
    }
}

std::optional<operators::drain_kind> drain_kind_from_name(const std::string& name) {
    using operators::drain_kind;
    if (name == "server") {
        return drain_kind::server;
    }
    if (name == "entry") {
        return drain_kind::entry;
    }
    return name == "domain" ? std::optional(drain_kind::domain) : std::nullopt;
}

int send_drain_change(const ctl_client& client, std::string_view call,
                      const std::vector<std::string>& arguments) {
    const auto kind = drain_kind_from_name(arguments[0]);
    if (!kind) {
        fmt::print(stderr, "carawayway ctl: expected server, entry or domain, got \"{}\"\n", arguments[0]);
        return to_int(exit_code::bad_input);
    }
    operators::drain_request request;
    request.kind = *kind;
    request.name = arguments[1];
    request.comment = FLAGS_comment;
    request.dry_run = FLAGS_dry_run;
    ctl_failure failure;
    std::string raw;
    const auto reply = client.call<change_reply>(call, request, call_effect::writes, failure, &raw);
    return reply ? finish_change(client, *reply, raw) : report(failure);
}

// Leaves `number` empty for an empty flag. Prints an error and returns false for a flag that is not a number.
bool parse_number_flag(const std::string& text, const char* flag, flatbuffers::Optional<double>& number) {
    if (text.empty()) {
        return true;
    }
    double value = 0;
    if (!config::parse_value(text, value)) {
        fmt::print(stderr, "carawayway ctl: --{} must be a number\n", flag);
        return false;
    }
    number = value;
    return true;
}

} // namespace

int finish_change(const ctl_client& client, const change_reply& reply, const std::string& raw) {
    if (FLAGS_json) {
        fmt::print("{}", raw);
    } else {
        print_change(reply);
    }
    std::fflush(stdout);
    if (FLAGS_wait && reply.outcome != change_outcome::would_change) {
        return wait_until_in_force(client, reply.revision);
    }
    return to_int(exit_code::done);
}

int ctl_drain(const ctl_client& client, const std::vector<std::string>& arguments) {
    return send_drain_change(client, "Drain", arguments);
}

int ctl_undrain(const ctl_client& client, const std::vector<std::string>& arguments) {
    return send_drain_change(client, "Undrain", arguments);
}

int ctl_shift(const ctl_client& client, const std::vector<std::string>& arguments) {
    operators::set_shift_cap_request request;
    request.service = arguments.front();
    request.comment = FLAGS_comment;
    request.dry_run = FLAGS_dry_run;
    request.remove_requests_per_second = FLAGS_requests_per_second == "none";
    flatbuffers::Optional<double> window = flatbuffers::nullopt;
    const bool valid =
        parse_number_flag(FLAGS_share, "share", request.share) &&
        parse_number_flag(FLAGS_window_ms, "window_ms", window) &&
        (request.remove_requests_per_second ||
         parse_number_flag(FLAGS_requests_per_second, "requests_per_second", request.requests_per_second));
    constexpr double maximum_window_ms = 1e12;
    if (!valid || (window && (*window < 0 || *window > maximum_window_ms))) {
        return to_int(exit_code::bad_input);
    }
    if (window) {
        request.window_ms = static_cast<std::int64_t>(*window);
    }
    if (!request.share && !request.window_ms && !request.requests_per_second &&
        !request.remove_requests_per_second) {
        fmt::print(stderr, "carawayway ctl: --share, --window_ms or --requests_per_second is required\n");
        return to_int(exit_code::bad_input);
    }
    ctl_failure failure;
    std::string raw;
    const auto reply = client.call<change_reply>("SetShiftCap", request, call_effect::writes, failure, &raw);
    return reply ? finish_change(client, *reply, raw) : report(failure);
}

} // namespace carawayway::cli
