// Maps the keys of each policy section to the members that hold their values. Reader, writer and validator
// all use these functions, so that every key that is read is also written and validated.
#pragma once

#include "carawayway/config/policy.hpp"

#include <concepts>
#include <type_traits>

namespace carawayway::config {

// Whether `Item` is `Section` or `const Section`.
template <class Item, class Section>
concept is_section = std::same_as<std::remove_const_t<Item>, Section>;

// Each function calls visit(key, member) for all keys of its section.
template <is_section<policy> Item, class Visitor>
void visit_fields(Item& item, Visitor&& visit) {
    visit("change_id", item.change_id);
    visit("comment", item.comment);
    visit("lookup_lifetime_ms", item.lookup_lifetime);
    visit("id_acceptance_ms", item.id_acceptance);
    visit("peer_requests_in_flight", item.peer_requests_in_flight);
    visit("peer_bytes_in_flight", item.peer_bytes_in_flight);
}

template <is_section<region_policy> Item, class Visitor>
void visit_fields(Item& item, Visitor&& visit) {
    visit("capacity", item.capacity);
}

template <is_section<failure_domain_policy> Item, class Visitor>
void visit_fields(Item& item, Visitor&& visit) {
    visit("region", item.region);
    visit("state", item.state);
}

template <is_section<service_policy> Item, class Visitor>
void visit_fields(Item& item, Visitor&& visit) {
    visit("customer", item.customer);
    visit("semantics", item.semantics);
    visit("default_timeout_ms", item.default_timeout);
    visit("maximum_timeout_ms", item.maximum_timeout);
    visit("queue_limit", item.queue_limit);
    visit("retry_share", item.retry_share);
    visit("warm_up_ms", item.warm_up);
    visit("shift_cap_share", item.cap.share);
    visit("shift_window_ms", item.cap.window);
    visit("shift_cap_requests_per_second", item.cap.requests_per_second);
    visit("regions", item.regions);
}

template <is_section<server_policy> Item, class Visitor>
void visit_fields(Item& item, Visitor&& visit) {
    visit("service", item.service);
    visit("domain", item.failure_domain);
    visit("address", item.address);
    visit("slots", item.slots);
    visit("connections", item.connections);
    visit("state", item.state);
}

// The section [drain].
template <is_section<policy> Item, class Visitor>
void visit_drain_fields(Item& item, Visitor&& visit) {
    visit("entries", item.draining_entries);
}

} // namespace carawayway::config
