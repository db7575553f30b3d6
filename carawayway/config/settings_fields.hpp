// Maps the keys of each section of the entry settings to the members that hold their values.
#pragma once

#include "carawayway/config/instance_settings.hpp"

namespace carawayway::config {

// Each function calls visit(key, member) for all keys of its section.
template <class Visitor>
void visit_entry_fields(instance_settings& settings, Visitor&& visit) {
    visit("name", settings.name);
    visit("failure_domain", settings.failure_domain);
    visit("region", settings.region);
    visit("caller_address", settings.caller_address);
    visit("peer_address", settings.peer_address);
    visit("operator_address", settings.operator_address);
    visit("deployment_key_file", settings.deployment_key_file);
    visit("operator_token_file", settings.operator_token_file);
    visit("log_level", settings.log_level);
}

template <class Visitor>
void visit_platform_fields(instance_settings& settings, Visitor&& visit) {
    visit("addresses", settings.platform_addresses);
    visit("policy_key", settings.policy_key);
    visit("instance_prefix", settings.instance_prefix);
    visit("timeout_ms", settings.platform_timeout);
    visit("instance_list_interval_ms", settings.instance_list_interval);
}

template <class Visitor>
void visit_peer_fields(peer_seed& seed, Visitor&& visit) {
    visit("failure_domain", seed.failure_domain);
    visit("region", seed.region);
    visit("peer_address", seed.peer_address);
    visit("caller_address", seed.caller_address);
}

template <class Visitor>
void visit_timing_fields(instance_settings& settings, Visitor&& visit) {
    visit("heartbeat_ms", settings.heartbeat_interval);
    visit("ownership_term_ms", settings.ownership_term);
    visit("pause_limit_ms", settings.pause_limit);
    visit("revalidation_ms", settings.revalidation_time);
    visit("idle_timeout_ms", settings.idle_timeout);
}

template <class Visitor>
void visit_limits_fields(instance_settings& settings, Visitor&& visit) {
    visit("caller_connections", settings.caller_connections);
    visit("header_bytes", settings.header_limit);
    visit("body_bytes", settings.body_limit);
    visit("request_table", settings.request_table_limit);
}

} // namespace carawayway::config
