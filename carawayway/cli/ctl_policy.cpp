// `ctl apply`, `get`, `revisions` and `rollback`.
#include "carawayway/cli/ctl_client.hpp"
#include "carawayway/cli/line_diff.hpp"
#include "carawayway/config/ini_document.hpp"
#include "carawayway/config/policy_reader.hpp"
#include "carawayway/operators/policy_text.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <charconv>
#include <cstdio>
#include <fstream>
#include <iterator>

DECLARE_bool(json);
DEFINE_int64(expected_revision, -1,
             "revision that the change must replace; -1: the current one in the store");
DEFINE_bool(dry_run, false, "validate the change without writing it");
DEFINE_int64(revision, 0, "revision to print; 0: the current one");

namespace carawayway::cli {

namespace {

using operators::change_reply;
using operators::policy_reply;

std::optional<std::string> read_policy_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        fmt::print(stderr, "carawayway ctl: cannot read {}\n", path);
        return std::nullopt;
    }
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::vector<config::diagnostic> diagnostics;
    const auto valid = config::read_valid_policy(text, path, diagnostics);
    for (const auto& item : diagnostics) {
        fmt::print(stderr, "{}\n", config::to_string(item));
    }
    return valid ? std::optional(std::move(text)) : std::nullopt;
}

std::optional<policy_reply> get_policy(const ctl_client& client, std::int64_t revision, ctl_failure& failure,
                                       std::string* raw = nullptr) {
    operators::get_policy_request request;
    request.revision = revision;
    return client.call<policy_reply>("GetPolicy", request, call_effect::reads, failure, raw);
}

// Returns revision 0 with an empty text when there is no policy yet.
std::optional<policy_reply> get_current_policy(const ctl_client& client, ctl_failure& failure) {
    auto current = get_policy(client, 0, failure);
    if (!current && failure.kind == base::error_kind::not_found) {
        current.emplace();
    }
    return current;
}

// Checks after a lost reply whether the entry instance has written the document.
std::optional<change_reply> find_applied_change(const ctl_client& client, const std::string& text) {
    ctl_failure ignored;
    const auto current = get_policy(client, 0, ignored);
    if (!current || current->source != operators::policy_source::store || current->policy != text) {
        return std::nullopt;
    }
    change_reply reply;
    reply.outcome = operators::change_outcome::written;
    reply.revision = current->revision;
    reply.change_id = current->change_id;
    return reply;
}

int apply_policy(const ctl_client& client, std::string text, const policy_reply& current) {
    if (!FLAGS_json) {
        const auto difference = format_diff(diff_lines(current.policy, text));
        fmt::print("{}", difference.empty() ? "no difference from the current policy\n" : difference);
    }
    operators::apply_policy_request request;
    request.policy = std::move(text);
    request.expected_revision = FLAGS_expected_revision >= 0 ? FLAGS_expected_revision : current.revision;
    request.dry_run = FLAGS_dry_run;
    ctl_failure failure;
    std::string raw;
    auto reply = client.call<change_reply>("ApplyPolicy", request, call_effect::writes, failure, &raw);
    if (!reply && failure.code == exit_code::outcome_unknown && !request.dry_run) {
        reply = find_applied_change(client, request.policy);
        base::failure unused;
        raw = reply ? operators::encode(*reply, operators::message_encoding::json, unused).value_or("") : "";
    }
    if (!reply) {
        return report(failure);
    }
    return finish_change(client, *reply, raw);
}

std::string format_time(std::int64_t milliseconds) {
    if (milliseconds == 0) {
        return "-";
    }
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(static_cast<std::time_t>(milliseconds / 1000)));
}

} // namespace

int ctl_apply(const ctl_client& client, const std::vector<std::string>& arguments) {
    auto text = read_policy_file(arguments.front());
    if (!text) {
        return to_int(exit_code::bad_input);
    }
    ctl_failure failure;
    const auto current = get_current_policy(client, failure);
    if (!current) {
        return report(failure);
    }
    return apply_policy(client, std::move(*text), *current);
}

int ctl_get(const ctl_client& client, const std::vector<std::string>&) {
    ctl_failure failure;
    std::string raw;
    const auto policy = get_policy(client, FLAGS_revision, failure, &raw);
    if (!policy) {
        return report(failure);
    }
    if (FLAGS_json) {
        fmt::print("{}", raw);
        return to_int(exit_code::done);
    }
    if (policy->source == operators::policy_source::entry) {
        fmt::print(stderr, "the store does not answer; this is revision {}, in force at the entry instance\n",
                   policy->revision);
    }
    fmt::print("{}", policy->policy);
    return to_int(exit_code::done);
}

int ctl_revisions(const ctl_client& client, const std::vector<std::string>&) {
    ctl_failure failure;
    std::string raw;
    const auto list = client.call<operators::revisions_reply>(
        "ListRevisions", operators::list_revisions_request{}, call_effect::reads, failure, &raw);
    if (!list) {
        return report(failure);
    }
    if (FLAGS_json) {
        fmt::print("{}", raw);
        return to_int(exit_code::done);
    }
    fmt::print("{:<10} {:<21} {:>8} {:<32} {}\n", "REVISION", "WRITTEN", "BYTES", "CHANGE", "COMMENT");
    for (const auto& item : list->revisions) {
        fmt::print("{:<10} {:<21} {:>8} {:<32} {}\n", item->revision, format_time(item->written_at_ms),
                   item->bytes, item->change_id, item->comment);
    }
    return to_int(exit_code::done);
}

int ctl_rollback(const ctl_client& client, const std::vector<std::string>& arguments) {
    const auto& argument = arguments.front();
    std::int64_t revision = 0;
    const auto [end, error] = std::from_chars(argument.data(), argument.data() + argument.size(), revision);
    if (error != std::errc{} || end != argument.data() + argument.size() || revision <= 0) {
        fmt::print(stderr, "carawayway ctl: REVISION must be a positive number\n");
        return to_int(exit_code::bad_input);
    }
    ctl_failure failure;
    const auto stored = get_policy(client, revision, failure);
    const auto current = stored ? get_current_policy(client, failure) : std::nullopt;
    if (!current) {
        return report(failure);
    }
    if (stored->revision == current->revision) {
        fmt::print(stderr, "revision {} is the current one\n", revision);
        return to_int(exit_code::done);
    }
    return apply_policy(client, operators::with_fresh_change_id(stored->policy), *current);
}

} // namespace carawayway::cli
