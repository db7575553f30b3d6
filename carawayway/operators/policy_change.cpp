// Drains and shift caps edit single keys; the check validates the whole policy.
#include "carawayway/operators/policy_change.hpp"

#include "carawayway/config/nearest_name.hpp"
#include "carawayway/config/policy_reader.hpp"
#include "carawayway/config/value_text.hpp"
#include "carawayway/operators/policy_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>

namespace carawayway::operators {

namespace {

bool contains(const std::vector<std::string>& names, std::string_view name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string nearest_of(std::string_view name, const std::vector<std::string>& names) {
    const std::vector<std::string_view> views(names.begin(), names.end());
    return std::string(config::nearest_name(name, views));
}

// The policy does not list entry instances, so the names of drained ones are checked against the known
// members.
void check_draining_entries(const config::policy& next, const config::policy& previous,
                            const entry_names& known, std::vector<config::diagnostic>& diagnostics) {
    if (known.empty()) {
        return;
    }
    for (const auto& name : next.draining_entries) {
        // A name that is already in the policy may belong to an entry instance that has left since.
        if (!contains(known, name) && !contains(previous.draining_entries, name)) {
            const auto nearest = nearest_of(name, known);
            diagnostics.push_back({"policy",
                                   0,
                                   "drain",
                                   "entries",
                                   fmt::format("names of known entry instances; unknown name {}{}", name,
                                               nearest.empty() ? "" : "; nearest known name " + nearest),
                                   {}});
        }
    }
    const bool any_active = std::any_of(known.begin(), known.end(), [&next](const std::string& name) {
        return !contains(next.draining_entries, name);
    });
    if (!any_active) {
        diagnostics.push_back(
            {"policy", 0, "drain", "entries", "at least one entry instance that is not draining", {}});
    }
}

template <class Item>
std::vector<std::string> names_of(const std::vector<Item>& items) {
    std::vector<std::string> names;
    names.reserve(items.size());
    for (const auto& item : items) {
        names.push_back(item.name);
    }
    return names;
}

void set_not_found(std::string_view kind, const std::string& name, const std::vector<std::string>& names,
                   call_error& error) {
    const auto nearest = nearest_of(name, names);
    error.kind = base::error_kind::not_found;
    error.detail =
        fmt::format("unknown {} {}{}", kind, name, nearest.empty() ? "" : "; nearest known name " + nearest);
}

config::policy read_or_empty(const std::string& text) {
    std::vector<config::diagnostic> unused;
    return config::read_policy(text, "policy", unused).value_or(config::policy{});
}

std::string with_comment(const std::string& document, const std::string& requested_comment,
                         const std::string& default_comment) {
    return with_value(document, "policy", "comment",
                      requested_comment.empty() ? default_comment : requested_comment);
}

// A comment must be a single line, since a line break would add lines to the document.
bool is_one_line(const std::string& text) {
    return std::none_of(text.begin(), text.end(), [](char character) {
        return static_cast<unsigned char>(character) < ' ' || character == '\x7F';
    });
}

bool check_comment(const std::string& comment, call_error& error) {
    if (!is_one_line(comment)) {
        error.kind = base::error_kind::request_invalid;
        error.detail = "comment must be one line without control characters";
        return false;
    }
    return true;
}

std::string set_entry_drain_state(const std::string& document, const config::policy& content,
                                  const std::string& name, drain_state target) {
    auto names = content.draining_entries;
    if (target == drain_state::active) {
        std::erase(names, name);
    } else if (!contains(names, name)) {
        names.push_back(name);
    }
    if (names == content.draining_entries) {
        return document;
    }
    const auto value = names.empty() ? std::nullopt : std::optional(config::format_value(names));
    return with_value(document, "drain", "entries", value);
}

template <class Item>
std::string set_item_drain_state(const std::string& document, std::string_view kind, const Item& item,
                                 drain_state target) {
    using enum config::administrative_state;
    const auto state = target == drain_state::draining ? draining : active;
    if (item.state == state) {
        return document;
    }
    return with_value(document, fmt::format("{} {}", kind, item.name), "state", config::format_value(state));
}

} // namespace

revision_summary summarize(const stored_policy& policy) {
    const auto content = read_or_empty(policy.text);
    return {policy.revision, content.change_id, content.comment};
}

std::optional<config::policy> check_change(const std::string& text, const stored_policy& current,
                                           const entry_names& known_entries, call_error& error) {
    std::vector<config::diagnostic> diagnostics;
    auto content = config::read_valid_policy(text, "policy", diagnostics);
    if (content) {
        const auto previous = read_or_empty(current.text);
        if (current.revision != 0 && content->change_id == previous.change_id) {
            diagnostics.push_back({"policy",
                                   0,
                                   "policy",
                                   "change_id",
                                   "a change ID other than that of the current policy",
                                   {}});
        }
        check_draining_entries(*content, previous, known_entries, diagnostics);
    }
    if (!diagnostics.empty()) {
        error.kind = base::error_kind::policy_invalid;
        error.detail = config::to_string(diagnostics.front());
        error.diagnostics = std::move(diagnostics);
        return std::nullopt;
    }
    return content;
}

std::optional<std::string> with_drain_state(const std::string& document, const drain_request& request,
                                            drain_state target, const entry_names& known_entries,
                                            call_error& error) {
    if (!check_comment(request.comment, error)) {
        return std::nullopt;
    }
    const auto content = read_or_empty(document);
    std::string_view kind = "entry";
    std::string edited;
    if (request.kind == drain_kind::server) {
        kind = "server";
        const auto* server = content.find_server(request.name);
        if (server == nullptr) {
            set_not_found(kind, request.name, names_of(content.servers), error);
            return std::nullopt;
        }
        edited = set_item_drain_state(document, kind, *server, target);
    } else if (request.kind == drain_kind::domain) {
        kind = "domain";
        const auto* domain = content.find_failure_domain(request.name);
        if (domain == nullptr) {
            set_not_found(kind, request.name, names_of(content.failure_domains), error);
            return std::nullopt;
        }
        edited = set_item_drain_state(document, kind, *domain, target);
    } else {
        if (!contains(known_entries, request.name) && !contains(content.draining_entries, request.name)) {
            set_not_found(kind, request.name, known_entries, error);
            return std::nullopt;
        }
        edited = set_entry_drain_state(document, content, request.name, target);
    }
    if (edited == document) {
        return document;
    }
    const auto* const verb = target == drain_state::draining ? "drain" : "undrain";
    return with_comment(edited, request.comment, fmt::format("{} {} {}", verb, kind, request.name));
}

std::optional<std::string> with_shift_cap(const std::string& document, const set_shift_cap_request& request,
                                          call_error& error) {
    if (!check_comment(request.comment, error)) {
        return std::nullopt;
    }
    const auto content = read_or_empty(document);
    const auto* service = content.find_service(request.service);
    if (service == nullptr) {
        set_not_found("service", request.service, names_of(content.services), error);
        return std::nullopt;
    }
    if (request.remove_requests_per_second && request.requests_per_second) {
        error.kind = base::error_kind::request_invalid;
        error.detail = "requests_per_second and remove_requests_per_second are mutually exclusive";
        return std::nullopt;
    }
    const std::string section = "service " + request.service;
    std::string edited = document;
    if (request.share && *request.share != service->cap.share) {
        edited = with_value(edited, section, "shift_cap_share", config::format_value(*request.share));
    }
    if (request.window_ms && *request.window_ms != base::to_milliseconds(service->cap.window)) {
        edited = with_value(edited, section, "shift_window_ms", fmt::format("{}", *request.window_ms));
    }
    const auto current_cap = service->cap.requests_per_second;
    if (request.requests_per_second && current_cap != *request.requests_per_second) {
        edited = with_value(edited, section, "shift_cap_requests_per_second",
                            config::format_value(*request.requests_per_second));
    }
    if (request.remove_requests_per_second && current_cap) {
        edited = with_value(edited, section, "shift_cap_requests_per_second", std::nullopt);
    }
    if (edited == document) {
        return document;
    }
    return with_comment(edited, request.comment, "shift cap of " + request.service);
}

} // namespace carawayway::operators
