// Updates and queries of the peer view.
#include "carawayway/engine/peer_view.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carawayway::engine {

namespace {

constexpr auto assumed_round_trip_within_domain = std::chrono::milliseconds(1);
constexpr auto assumed_round_trip_within_region = std::chrono::milliseconds(3);
constexpr auto assumed_round_trip_between_regions = std::chrono::milliseconds(60);

} // namespace

peer_view::peer_view(std::string own_failure_domain, std::string own_region)
    : m_own_failure_domain(std::move(own_failure_domain)), m_own_region(std::move(own_region)) {}

void peer_view::set_member(const std::string& entry, const std::string& failure_domain,
                           const std::string& region, std::uint64_t incarnation) {
    auto& known = m_peers[entry];
    known.failure_domain = failure_domain;
    known.region = region;
    if (incarnation == 0 || incarnation == known.incarnation) {
        return;
    }
    known.incarnation = incarnation;
    known.services.clear();
    known.state = config::administrative_state::active;
}

void peer_view::set_link(const std::string& entry, link_status status) {
    auto& known = m_peers[entry];
    known.link = status;
    if (status == link_status::down) {
        known.services.clear();
    }
}

void peer_view::set_state(const std::string& entry, config::administrative_state state) {
    m_peers[entry].state = state;
}

void peer_view::mark_dead(const std::string& entry, std::uint64_t incarnation) {
    m_peers[entry].dead_incarnation = incarnation;
}

void peer_view::set_round_trip(const std::string& entry, base::duration measured) {
    m_peers[entry].round_trip = measured;
}

void peer_view::set_summary(const std::string& entry, const wire::entry_summary& summary,
                            base::time_point now) {
    auto& known = m_peers[entry];
    known.summary_time = now;
    known.services.clear();
    for (const auto& service : summary.services) {
        known.services[service.service] = {service, 0};
    }
}

void peer_view::call_started(const std::string& entry, const std::string& service, std::size_t bytes) {
    auto& known = m_peers[entry];
    ++known.calls;
    known.bytes += bytes;
    const auto load = known.services.find(service);
    if (load != known.services.end()) {
        ++load->second.calls_since_summary;
    }
}

void peer_view::call_ended(const std::string& entry, const std::string& service, std::size_t bytes,
                           slot_after_call slot) {
    auto& known = m_peers[entry];
    assert(known.calls > 0 && known.bytes >= bytes);
    --known.calls;
    known.bytes -= bytes;
    const auto load = known.services.find(service);
    if (slot == slot_after_call::freed && load != known.services.end() &&
        load->second.calls_since_summary > 0) {
        --load->second.calls_since_summary;
    }
}

const peer_view::peer* peer_view::find(const std::string& entry) const {
    const auto found = m_peers.find(entry);
    return found == m_peers.end() ? nullptr : &found->second;
}

bool peer_view::is_linked(const std::string& entry) const {
    const auto* known = find(entry);
    return known != nullptr && known->link == link_status::up;
}

std::string peer_view::region_of(const std::string& entry) const {
    const auto* known = find(entry);
    return known == nullptr ? std::string{} : known->region;
}

bool peer_view::has_capacity(const std::string& entry, std::size_t bytes) const {
    const auto* known = find(entry);
    return known != nullptr && known->calls < m_limits.requests_in_flight &&
           known->bytes + bytes <= m_limits.bytes_in_flight;
}

base::duration peer_view::round_trip(const std::string& entry) const {
    const auto* known = find(entry);
    if (known == nullptr) {
        return assumed_round_trip_between_regions;
    }
    if (known->round_trip) {
        return *known->round_trip;
    }
    if (known->failure_domain == m_own_failure_domain) {
        return assumed_round_trip_within_domain;
    }
    return known->region == m_own_region ? assumed_round_trip_within_region
                                         : assumed_round_trip_between_regions;
}

incarnation_state peer_view::state_of(const std::string& entry, std::uint64_t incarnation) const {
    const auto* known = find(entry);
    if (known == nullptr) {
        return incarnation_state::unreachable;
    }
    const bool replaced = known->incarnation != 0 && known->incarnation != incarnation;
    if (replaced || known->dead_incarnation == incarnation) {
        return incarnation_state::gone;
    }
    return known->link == link_status::up ? incarnation_state::linked : incarnation_state::unreachable;
}

std::vector<shifting::entry_summary> peer_view::summaries(const std::string& service,
                                                          base::time_point now) const {
    std::vector<shifting::entry_summary> result;
    for (const auto& [name, known] : m_peers) {
        const auto load = known.services.find(service);
        if (known.link == link_status::down || load == known.services.end()) {
            continue;
        }
        shifting::entry_summary item;
        item.entry = name;
        item.failure_domain = known.failure_domain;
        item.region = known.region;
        item.free_slots = load->second.summary.free_slots;
        item.queued = load->second.summary.queued;
        item.round_trip = round_trip(name);
        item.age = now - known.summary_time;
        item.state = known.state;
        item.sent_since_summary = load->second.calls_since_summary;
        item.link_in_flight = known.calls;
        item.link_limit = m_limits.requests_in_flight;
        result.push_back(std::move(item));
    }
    return result;
}

} // namespace carawayway::engine
