// Maps the keys of each section of the gateway settings to the members that hold their values.
#pragma once

#include "carawayway/config/gateway_settings.hpp"

namespace carawayway::config {

// Each function calls visit(key, member) for all keys of its section.
template <class Visitor>
void visit_gateway_fields(gateway_settings& settings, Visitor&& visit) {
    visit("name", settings.name);
    visit("failure_domain", settings.failure_domain);
    visit("region", settings.region);
    visit("caller_address", settings.caller_address);
    visit("readiness_address", settings.readiness_address);
    visit("lookup_address", settings.lookup_address);
    visit("peer_address", settings.peer_address);
    visit("metrics_address", settings.metrics_address);
    visit("notice_address", settings.notice_address);
    visit("relay_address", settings.relay_address);
    visit("quota_address", settings.quota_address);
    visit("seeds", settings.seeds);
    visit("bounds", settings.bounds);
    visit("log_level", settings.log_level);
    visit("caller_connections", settings.caller_connections);
    visit("relayed_requests", settings.relayed_requests);
    visit("largest_body_bytes", settings.largest_body_bytes);
}

template <class Visitor>
void visit_store_fields(gateway_settings& settings, Visitor&& visit) {
    visit("address", settings.store_address);
    visit("shortest_lease_ms", settings.shortest_lease);
}

template <class Visitor>
void visit_machine_fields(gateway_settings& settings, Visitor&& visit) {
    visit("link_megabits", settings.link_megabits);
    visit("memory_megabytes", settings.memory_megabytes);
    visit("processor_share", settings.processor_share);
}

template <class Visitor>
void visit_gateway_domain_fields(std::string& region, Visitor&& visit) {
    visit("region", region);
}

} // namespace carawayway::config
