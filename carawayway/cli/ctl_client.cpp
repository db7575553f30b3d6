// Sends HTTP requests with the operators' token and formats problem documents as text.
#include "carawayway/cli/ctl_client.hpp"

#include "carawayway/cli/http_call.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <utility>

DECLARE_int32(timeout_ms);
DECLARE_bool(json);
DEFINE_string(operator, "127.0.0.1:21200", "operator address (IP:port) of any entry instance");
DEFINE_string(token_file, "", "file with the operators' token");

namespace carawayway::cli {

namespace {

// A change may take one write and one read of the store, each up to the platform timeout of the entry
// instance.
constexpr auto default_timeout = std::chrono::seconds(10);

std::string string_field(const boost::json::object& document, std::string_view name) {
    const auto* value = document.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_string()) {
        return {};
    }
    return {value->get_string().data(), value->get_string().size()};
}

std::string format_diagnostics(const boost::json::object& document) {
    const auto* list = document.if_contains("diagnostics");
    std::string text;
    if (list != nullptr && list->is_array()) {
        for (const auto& item : list->get_array()) {
            if (item.is_object()) {
                text += "\n  " + string_field(item.get_object(), "text");
            }
        }
    }
    return text;
}

std::string format_current_revision(const boost::json::object& document) {
    const auto* revision = document.if_contains("current_revision");
    if (revision == nullptr || !revision->is_int64()) {
        return {};
    }
    return fmt::format("\n  in the store: revision {}, change {}, \"{}\"", revision->get_int64(),
                       string_field(document, "current_change_id"),
                       string_field(document, "current_comment"));
}

ctl_failure to_failure(const http_reply& reply) {
    boost::json::error_code error;
    const auto parsed = boost::json::parse(reply.body, error);
    ctl_failure failure;
    failure.body = reply.body;
    if (error || !parsed.is_object()) {
        failure.text = fmt::format("status {} without a problem document", reply.status);
        return failure;
    }
    const auto& document = parsed.get_object();
    const auto kind = string_field(document, "kind");
    failure.kind = base::error_kind_from_name(kind);
    failure.code = failure.kind ? exit_code_for(*failure.kind) : exit_code::failed;
    const auto diagnostics = format_diagnostics(document);
    failure.text = diagnostics.empty() ? fmt::format("{}: {}", kind, string_field(document, "detail"))
                                       : fmt::format("{}:{}", kind, diagnostics);
    failure.text += format_current_revision(document);
    return failure;
}

ctl_failure to_failure(call_failure reason, std::string text, call_effect effect) {
    auto code = exit_code::unreachable;
    if (reason == call_failure::bad_address) {
        code = exit_code::bad_input;
    } else if (reason == call_failure::outcome_unknown && effect == call_effect::writes) {
        code = exit_code::outcome_unknown;
    }
    return {code, std::nullopt, std::move(text), {}};
}

std::optional<std::string> read_token(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const auto last = text.find_last_not_of(" \r\n");
    text.resize(last == std::string::npos ? 0 : last + 1);
    return text;
}

} // namespace

exit_code exit_code_for(base::error_kind kind) {
    using enum base::error_kind;
    switch (kind) {
    case policy_conflict:
        return exit_code::conflict;
    case store_unavailable:
    case overloaded:
    case too_many_connections:
        return exit_code::unreachable;
    case store_outcome_unknown:
        return exit_code::outcome_unknown;
    case policy_invalid:
    case request_invalid:
    case request_too_large:
    case service_unknown:
    case not_found:
    case unauthorized:
        return exit_code::bad_input;
    default:
        return exit_code::failed;
    }
}

ctl_client::ctl_client(std::string address, std::string token, base::duration timeout)
    : m_address(std::move(address)), m_token(std::move(token)), m_timeout(timeout) {}

std::optional<ctl_client> ctl_client::from_flags() {
    std::string token;
    if (!FLAGS_token_file.empty()) {
        const auto read = read_token(FLAGS_token_file);
        if (!read || read->empty()) {
            fmt::print(stderr, "carawayway ctl: cannot read a token from {}\n", FLAGS_token_file);
            return std::nullopt;
        }
        token = *read;
    }
    const bool is_default = gflags::GetCommandLineFlagInfoOrDie("timeout_ms").is_default;
    const base::duration timeout =
        is_default ? base::duration(default_timeout) : std::chrono::milliseconds(FLAGS_timeout_ms);
    return ctl_client(FLAGS_operator, std::move(token), timeout);
}

std::optional<std::string> ctl_client::post(std::string_view call, std::string_view binary,
                                            call_effect effect, ctl_failure& failure) const {
    http_call request;
    request.address = m_address;
    request.method = "POST";
    request.target = "/v1/" + std::string(call);
    request.headers.emplace_back("Content-Type", "application/octet-stream");
    if (!m_token.empty()) {
        request.headers.emplace_back("Authorization", "Bearer " + m_token);
    }
    request.body = binary;
    request.timeout = m_timeout;
    call_failure reason = call_failure::none;
    std::string text;
    auto reply = perform(request, reason, text);
    if (!reply) {
        failure = to_failure(reason, std::move(text), effect);
        return std::nullopt;
    }
    if (reply->status != 200) {
        failure = to_failure(*reply);
        return std::nullopt;
    }
    return std::move(reply->body);
}

std::optional<std::string> ctl_client::page(std::string_view target, ctl_failure& failure) const {
    http_call request;
    request.address = m_address;
    request.target = target;
    request.timeout = m_timeout;
    call_failure reason = call_failure::none;
    std::string text;
    auto reply = perform(request, reason, text);
    if (!reply) {
        failure = to_failure(reason, std::move(text), call_effect::reads);
        return std::nullopt;
    }
    if (reply->status != 200) {
        failure = to_failure(*reply);
        return std::nullopt;
    }
    return std::move(reply->body);
}

int report(const ctl_failure& failure) {
    if (FLAGS_json && !failure.body.empty()) {
        fmt::print("{}", failure.body);
    } else {
        fmt::print(stderr, "carawayway ctl: {}\n", failure.text);
    }
    return to_int(failure.code);
}

} // namespace carawayway::cli
