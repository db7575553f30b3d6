// Defines the tables of known sections and keys and renders them as documentation.
#include "carawayway/config/key_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace carawayway::config {

namespace {

constexpr auto settings = document_kind::entry_settings;
constexpr auto policy = document_kind::policy;
constexpr auto gateway = document_kind::gateway_settings;
constexpr auto required = requirement_level::required;
constexpr auto optional = requirement_level::optional;

constexpr double maximum_timeout_ms = 60'000;
constexpr double maximum_duration_ms = 3'600'000;
constexpr double maximum_count = 1'000'000;
constexpr double maximum_body_bytes = 1U << 20U;    // maximum payload of a peer frame
constexpr double maximum_header_bytes = 32U << 10U; // fits into a peer frame together with the largest body
constexpr double minimum_peer_bytes = maximum_body_bytes; // one request with the largest body must fit
constexpr double maximum_peer_bytes = 1U << 30U;

constexpr std::array sections{
    section_description{settings, "entry", section_naming::single, section_keys::listed, required,
                        "The entry instance itself."},
    section_description{settings, "platform", section_naming::single, section_keys::listed, required,
                        "Access to the platform's key-value store."},
    section_description{settings, "peer", section_naming::named, section_keys::listed, optional,
                        "One peer that is known before any message was exchanged."},
    section_description{settings, "timing", section_naming::single, section_keys::listed, optional,
                        "Times between entry instances and towards callers."},
    section_description{settings, "limits", section_naming::single, section_keys::listed, optional,
                        "Bounds on the resources that callers can use."},
    section_description{policy, "policy", section_naming::single, section_keys::listed, required,
                        "Values for the whole deployment."},
    section_description{policy, "region", section_naming::named, section_keys::listed, optional,
                        "One region."},
    section_description{policy, "domain", section_naming::named, section_keys::listed, optional,
                        "One failure domain."},
    section_description{policy, "service", section_naming::named, section_keys::listed, optional,
                        "One service."},
    section_description{policy, "server", section_naming::named, section_keys::listed, optional,
                        "One backend server."},
    section_description{policy, "client_blocks", section_naming::single, section_keys::prefixes, optional,
                        "The home regions of callers, by address prefix."},
    section_description{policy, "drain", section_naming::single, section_keys::listed, optional,
                        "Entry instances that are being drained."},
    section_description{gateway, "gateway", section_naming::single, section_keys::listed, required,
                        "The gateway itself."},
    section_description{gateway, "store", section_naming::single, section_keys::listed, required,
                        "Access to the platform's key-value store."},
    section_description{gateway, "machine", section_naming::single, section_keys::listed, optional,
                        "The machine that the gateway runs on."},
    section_description{gateway, "domain", section_naming::named, section_keys::listed, optional,
                        "One failure domain; its name is the platform's."},
};

// clang-format off: one row per key.
constexpr std::array keys{
    key_description{settings, "entry", "name", value_kind::name, "", required, "", 0, 0,
                    "Name of this entry instance, unique in the deployment; part of request IDs."},
    key_description{settings, "entry", "failure_domain", value_kind::name, "", required, "", 0, 0,
                    "Failure domain that this instance runs in."},
    key_description{settings, "entry", "region", value_kind::name, "", required, "", 0, 0,
                    "Region of the failure domain."},
    key_description{settings, "entry", "caller_address", value_kind::listen_address, "", required, "", 0, 0,
                    "Address that callers connect to; also given in look-up answers."},
    key_description{settings, "entry", "peer_address", value_kind::listen_address, "", required, "", 0, 0,
                    "Address that other entry instances connect to."},
    key_description{settings, "entry", "operator_address", value_kind::listen_address, "", optional,
                    "127.0.0.1:0", 0, 0, "Address that operators connect to."},
    key_description{settings, "entry", "deployment_key_file", value_kind::file_path, "", required, "", 0, 0,
                    "File with the secret that proves that a peer belongs to the deployment."},
    key_description{settings, "entry", "operator_token_file", value_kind::file_path, "", required, "", 0, 0,
                    "File with the token that operators send."},
    key_description{settings, "entry", "log_level", value_kind::log_level, "", optional, "info", 0, 0,
                    "Lowest level that is logged."},
    key_description{settings, "platform", "addresses", value_kind::remote_address_list, "", required, "", 0,
                    0, "Addresses of the store; the first one that answers is used."},
    key_description{settings, "platform", "policy_key", value_kind::store_key, "", optional,
                    "/carawayway/policy", 0, 0, "Store key of the policy document."},
    key_description{settings, "platform", "instance_prefix", value_kind::store_key, "", optional,
                    "/instances/", 0, 0,
                    "Prefix of the store keys that list live and leaving backend servers."},
    key_description{settings, "platform", "timeout_ms", value_kind::milliseconds, "ms", optional, "2000", 1,
                    maximum_timeout_ms, "Time after which a call to the store counts as failed."},
    key_description{settings, "platform", "instance_list_interval_ms", value_kind::milliseconds, "ms",
                    optional, "1000", 1, maximum_duration_ms, "Time between two reads of the instance list."},
    key_description{settings, "peer", "failure_domain", value_kind::name, "", required, "", 0, 0,
                    "Failure domain of the peer."},
    key_description{settings, "peer", "region", value_kind::name, "", required, "", 0, 0,
                    "Region of the peer's failure domain."},
    key_description{settings, "peer", "peer_address", value_kind::remote_address, "", required, "", 0, 0,
                    "Address that this instance connects to, even when the peer advertises another one."},
    key_description{settings, "peer", "caller_address", value_kind::remote_address, "", required, "", 0, 0,
                    "Address that the peer accepts callers on; given in look-up answers."},
    key_description{settings, "timing", "heartbeat_ms", value_kind::milliseconds, "ms", optional, "250", 1,
                    maximum_timeout_ms, "Time between two heartbeats to a peer."},
    key_description{
        settings, "timing", "ownership_term_ms", value_kind::milliseconds, "ms", optional, "3000", 1,
        maximum_duration_ms,
        "Time without heartbeat progress after which an entry instance may no longer own servers."},
    key_description{settings, "timing", "pause_limit_ms", value_kind::milliseconds, "ms", optional, "500", 1,
                    maximum_timeout_ms,
                    "Gap in this instance's own clock readings above which it checks its claims again."},
    key_description{settings, "timing", "revalidation_ms", value_kind::milliseconds, "ms", optional, "1000",
                    1, maximum_timeout_ms, "Longest wait for the peers' claims after a pause or a start."},
    key_description{settings, "timing", "idle_timeout_ms", value_kind::milliseconds, "ms", optional, "60000",
                    1, maximum_duration_ms, "Time after which an idle caller connection is closed."},
    key_description{settings, "limits", "caller_connections", value_kind::integer, "connections", optional,
                    "1024", 1, 65535, "Caller connections that are open at once."},
    key_description{settings, "limits", "header_bytes", value_kind::integer, "bytes", optional, "16384", 1024,
                    maximum_header_bytes, "Size of a request's header section."},
    key_description{settings, "limits", "body_bytes", value_kind::integer, "bytes", optional, "1048576", 0,
                    maximum_body_bytes, "Size of a request's body."},
    key_description{settings, "limits", "request_table", value_kind::integer, "records", optional, "200000",
                    1, 10 * maximum_count, "Records of non-idempotent requests that are kept at once."},
    key_description{policy, "policy", "change_id", value_kind::token, "", optional, "", 0, 0,
                    "Chosen by the writer; tells whether a write whose reply was lost took effect."},
    key_description{policy, "policy", "comment", value_kind::text, "", optional, "", 0, 0,
                    "Why the policy was changed."},
    key_description{policy, "policy", "lookup_lifetime_ms", value_kind::milliseconds, "ms", optional, "10000",
                    1, maximum_duration_ms, "Time that callers may cache a look-up answer."},
    key_description{policy, "policy", "id_acceptance_ms", value_kind::milliseconds, "ms", optional, "60000",
                    1, maximum_duration_ms, "Time that new request IDs under one prefix are accepted."},
    key_description{policy, "policy", "peer_requests_in_flight", value_kind::integer, "requests", optional,
                    "64", 1, 65535, "Requests in flight on one peer link."},
    key_description{policy, "policy", "peer_bytes_in_flight", value_kind::integer, "bytes", optional,
                    "4194304", minimum_peer_bytes, maximum_peer_bytes,
                    "Bytes of requests and answers in flight on one peer link."},
    key_description{policy, "region", "capacity", value_kind::integer, "requests", optional, "", 1,
                    maximum_count,
                    "Requests in flight over all servers of the region; the sum of the slots if not given."},
    key_description{policy, "domain", "region", value_kind::name, "", required, "", 0, 0,
                    "Region that the failure domain belongs to."},
    key_description{policy, "domain", "state", value_kind::state, "", optional, "active", 0, 0,
                    "A draining failure domain gets no new work."},
    key_description{policy, "service", "customer", value_kind::text, "", optional, "", 0, 0,
                    "Firm that the service belongs to; used in metrics."},
    key_description{policy, "service", "semantics", value_kind::semantics, "", optional, "idempotent", 0, 0,
                    "Requests of a non-idempotent service run at most once."},
    key_description{policy, "service", "default_timeout_ms", value_kind::milliseconds, "ms", optional, "1000",
                    1, maximum_timeout_ms, "Timeout of requests that name none."},
    key_description{
        policy, "service", "maximum_timeout_ms", value_kind::milliseconds, "ms", optional, "2000", 1,
        maximum_timeout_ms,
        "Longest timeout of a request; also delays the takeover of servers from a lost entry instance."},
    key_description{policy, "service", "queue_limit", value_kind::integer, "requests", optional, "256", 0,
                    maximum_count, "Requests that wait at one entry instance."},
    key_description{policy, "service", "retry_share", value_kind::real, "", optional, "0.1", 0, 1,
                    "Retries as a share of first attempts."},
    key_description{policy, "service", "warm_up_ms", value_kind::milliseconds, "ms", optional, "5000", 0,
                    maximum_duration_ms, "Slow start of a server that is new or back."},
    key_description{policy, "service", "shift_cap_share", value_kind::real, "", optional, "0.1", 0, 1,
                    "Share of a home region's traffic that may newly move to other regions in one window."},
    key_description{policy, "service", "shift_window_ms", value_kind::milliseconds, "ms", optional, "10000",
                    1, maximum_duration_ms, "Window of the shift cap."},
    key_description{policy, "service", "shift_cap_requests_per_second", value_kind::real, "requests/s",
                    optional, "", 0, maximum_count,
                    "Absolute shift cap over the whole system; none if not given."},
    key_description{policy, "service", "regions", value_kind::name_list, "", optional, "", 0, 0,
                    "Regions that may serve the service; all if not given."},
    key_description{policy, "server", "service", value_kind::name, "", required, "", 0, 0,
                    "Service that the server runs."},
    key_description{policy, "server", "domain", value_kind::name, "", required, "", 0, 0,
                    "Failure domain that the server runs in."},
    key_description{policy, "server", "address", value_kind::remote_address, "", required, "", 0, 0,
                    "Address that the server accepts requests on."},
    key_description{policy, "server", "slots", value_kind::integer, "requests", optional, "1", 1, 65535,
                    "Requests that the server runs at once."},
    key_description{policy, "server", "connections", value_kind::integer, "connections", optional, "300", 1,
                    65535, "Connections that the server accepts from all entry instances."},
    key_description{policy, "server", "state", value_kind::state, "", optional, "active", 0, 0,
                    "A draining server gets no new work."},
    key_description{
        policy, "client_blocks", prefix_placeholder, value_kind::name, "", optional, "", 0, 0,
        "Home region of callers in the prefix (ADDRESS/LENGTH, IPv6 up to /64); the longest prefix counts."},
    key_description{policy, "drain", "entries", value_kind::name_list, "", optional, "", 0, 0,
                    "Names of entry instances that are being drained."},
    key_description{gateway, "gateway", "name", value_kind::name, "", required, "", 0, 0,
                    "Name of this gateway, unique in the deployment."},
    key_description{gateway, "gateway", "failure_domain", value_kind::name, "", required, "", 0, 0,
                    "Failure domain that this gateway runs in."},
    key_description{gateway, "gateway", "region", value_kind::name, "", required, "", 0, 0,
                    "Region of the failure domain."},
    key_description{gateway, "gateway", "caller_address", value_kind::listen_address, "", required, "", 0, 0,
                    "Address that callers send requests to; also given in look-up answers."},
    key_description{gateway, "gateway", "readiness_address", value_kind::listen_address, "", required, "", 0,
                    0, "Address that answers whether this gateway takes requests."},
    key_description{gateway, "gateway", "lookup_address", value_kind::listen_address, "", required, "", 0, 0,
                    "Address that tells callers which gateways to use."},
    key_description{gateway, "gateway", "peer_address", value_kind::listen_address, "", required, "", 0, 0,
                    "Address that other gateways ask for facts while the store does not answer them."},
    key_description{gateway, "gateway", "metrics_address", value_kind::listen_address, "", optional, "", 0, 0,
                    "Address of the metrics; without it they are not served."},
    key_description{gateway, "gateway", "notice_address", value_kind::listen_address, "", optional, "", 0, 0,
                    "UDP address that other gateways tell which requests crash servers; without it this "
                    "gateway tells and learns only through the store."},
    key_description{
        gateway, "gateway", "relay_address", value_kind::listen_address, "", optional, "", 0, 0,
        "Address to which other gateways send requests while they reach no server; without it this "
        "gateway takes none."},
    key_description{gateway, "gateway", "quota_address", value_kind::listen_address, "", optional, "", 0, 0,
                    "UDP address at which gateways share the quotas of client accounts; without it this "
                    "gateway uses a fixed part of each."},
    key_description{gateway, "gateway", "seeds", value_kind::remote_address_list, "", optional, "", 0, 0,
                    "Peer addresses of gateways to ask before any other is known."},
    key_description{gateway, "gateway", "bounds", value_kind::text, "", optional, "", 0, 0,
                    "The platform's bounds, as the platform writes them."},
    key_description{gateway, "gateway", "log_level", value_kind::log_level, "", optional, "info", 0, 0,
                    "Lowest level that is logged."},
    key_description{gateway, "gateway", "caller_connections", value_kind::integer, "connections", optional,
                    "3000", 1, 65535, "Caller connections that are open at once."},
    key_description{gateway, "gateway", "relayed_requests", value_kind::integer, "requests", optional, "128",
                    1, 65535, "Requests of other gateways that run at once; more are refused."},
    key_description{
        gateway, "gateway", "largest_body_bytes", value_kind::integer, "bytes", optional, "67108864",
        1U << 20U, 4e9,
        "Largest body of a request, even when the configuration allows more; bodies are held whole."},
    key_description{gateway, "store", "address", value_kind::remote_address, "", required, "", 0, 0,
                    "Address of the store."},
    key_description{gateway, "store", "shortest_lease_ms", value_kind::milliseconds, "ms", optional, "1000",
                    1, maximum_duration_ms, "Shortest lease that the store grants."},
    key_description{gateway, "machine", "link_megabits", value_kind::real, "Mbit/s", optional, "0", 0,
                    maximum_count,
                    "Capacity of the machine's network link in each direction. 0: unknown. Look-ups name the "
                    "gateways that can carry most."},
    key_description{
        gateway, "machine", "memory_megabytes", value_kind::real, "MB", optional, "160", 64, maximum_count,
        "Memory that this process may use. Requests and responses take two fifths of it at most."},
    key_description{gateway, "machine", "processor_share", value_kind::real, "cores", optional, "0", 0, 1024,
                    "Processor time that this process may use. 0: unknown."},
    key_description{gateway, "domain", "region", value_kind::name, "", required, "", 0, 0,
                    "Region of the failure domain."},
};
// clang-format on

std::string with_unit(std::string text, const key_description& key) {
    return key.unit.empty() ? text : fmt::format("{} ({})", text, key.unit);
}

std::string range_of(const key_description& key) {
    return fmt::format("{:.0f} to {:.0f}", key.minimum, key.maximum);
}

std::string_view presence_or_default(const key_description& key) {
    if (key.requirement == requirement_level::required) {
        return "required";
    }
    return key.default_value.empty() ? "none" : key.default_value;
}

std::string section_markdown(const section_description& section) {
    std::string text = fmt::format(
        "### `[{}{}]`\n\n{}{}\n\n| Key | Value | Default | Meaning |\n|---|---|---|---|\n", section.section,
        section.naming == section_naming::named ? " NAME" : "", section.description,
        section.requirement == requirement_level::required ? " Required." : "");
    for (const auto& key : keys) {
        if (key.document == section.document && key.section == section.section) {
            text += fmt::format("| `{}` | {} | {} | {} |\n", key.key, expected_value(key),
                                presence_or_default(key), key.description);
        }
    }
    return text + "\n";
}

} // namespace

std::span<const section_description> known_sections() {
    return sections;
}

std::span<const key_description> known_keys() {
    return keys;
}

const section_description* find_section(document_kind document, std::string_view section) {
    const auto* const found =
        std::find_if(sections.begin(), sections.end(), [&](const section_description& item) {
            return item.document == document && item.section == section;
        });
    return found == sections.end() ? nullptr : found;
}

const key_description* find_key(document_kind document, std::string_view section, std::string_view key) {
    const auto* const found = std::find_if(keys.begin(), keys.end(), [&](const key_description& item) {
        return item.document == document && item.section == section && item.key == key;
    });
    return found == keys.end() ? nullptr : found;
}

std::string expected_value(const key_description& key) {
    switch (key.kind) {
    case value_kind::name:
        return "a name of 1 to 63 characters a-z, 0-9 and -";
    case value_kind::name_list:
        return "different names separated by commas";
    case value_kind::token:
        return "1 to 128 characters A-Z, a-z, 0-9, '.', '_' and -";
    case value_kind::text:
        return "at most 1024 bytes of UTF-8 text without control characters";
    case value_kind::file_path:
        return "a file path without control characters";
    case value_kind::store_key:
        return "a store key that begins with / and has no spaces";
    case value_kind::integer:
        return with_unit("an integer from " + range_of(key), key);
    case value_kind::real:
        return with_unit("a number from " + range_of(key), key);
    case value_kind::milliseconds:
        return "whole milliseconds from " + range_of(key);
    case value_kind::semantics:
        return "idempotent or non-idempotent";
    case value_kind::state:
        return "active or draining";
    case value_kind::log_level:
        return "debug, info, warning or error";
    case value_kind::listen_address:
        return "IP:port that others can connect to (IPv6 as [IP]:port; port 0: any free port)";
    case value_kind::remote_address:
        return "IP:port (IPv6 as [IP]:port) with a port from 1 to 65535";
    case value_kind::remote_address_list:
        return "different IP:port (IPv6 as [IP]:port) separated by commas";
    }
    return {};
}

std::string key_reference_markdown() {
    std::string text = "## Settings\n\n";
    document_kind document = settings;
    for (const auto& section : sections) {
        if (section.document != document) {
            document = section.document;
            text += document == policy ? "## Policy\n\n" : "## Gateway settings\n\n";
        }
        text += section_markdown(section);
    }
    text.pop_back(); // the empty line after the last table
    return text;
}

} // namespace carawayway::config
