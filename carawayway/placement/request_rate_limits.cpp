// Limits, permits and claims of each server.
#include "carawayway/placement/request_rate_limits.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace carawayway::placement {

namespace {

base::duration seconds_to_duration(double seconds) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

std::uint32_t request_rate_limits::permit_count(double requests_per_second) {
    const double count = std::floor(requests_per_second / minimum_permit_rate);
    return static_cast<std::uint32_t>(std::clamp(count, 1.0, static_cast<double>(maximum_permits)));
}

void request_rate_limits::start_limit(limited_server& limited, double requests_per_second,
                                      base::time_point now) {
    if (!limited.requests_per_second) {
        limited.limited_since = now;
        limited.tokens = 0.0;
        limited.refilled_at = now;
    }
    limited.requests_per_second = requests_per_second;
    limited.release_is_due = false;
    limited.heard_at = now;
}

bool request_rate_limits::record_named(const server_state& server, double requests_per_second,
                                       base::time_point now) {
    const auto& registration = server.registration;
    start_incarnation(registration.id, registration.started_at);
    auto& limited = m_servers[registration.id];
    if (registration.started_at < limited.started_at) {
        return false; // an answer of an earlier incarnation
    }
    limited.started_at = registration.started_at;
    limited.region = server.region;
    const bool was_limited = limited.requests_per_second.has_value();
    start_limit(limited, requests_per_second, now);
    limited.named_at = now;
    return !was_limited;
}

void request_rate_limits::start_incarnation(const std::string& server, std::int64_t started_at) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && found->second.started_at < started_at) {
        found->second.started_at = started_at;
        found->second.requests_per_second.reset();
    }
}

bool request_rate_limits::record_unnamed(const std::string& server, base::time_point sent_at) {
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.requests_per_second || sent_at < found->second.named_at) {
        return false;
    }
    end_limit(found->second);
    return true;
}

void request_rate_limits::end_limit(limited_server& limited) const {
    limited.requests_per_second.reset();
    limited.release_is_due = std::any_of(limited.permits.begin(), limited.permits.end(),
                                         [&](const auto& item) { return is_own(limited, item.second); });
}

void request_rate_limits::remove_server(const std::string& server) {
    if (const auto found = m_servers.find(server); found != m_servers.end()) {
        end_limit(found->second);
    }
}

void request_rate_limits::put(const fleet::request_permit& permit, fleet::store_revision revision,
                              base::time_point now) {
    auto& limited = m_servers[permit.server];
    start_incarnation(permit.server, permit.server_started_at);
    limited.started_at = std::max(limited.started_at, permit.server_started_at);
    auto& item = limited.permits[permit.number];
    if (revision < item.revision) {
        return;
    }
    item = {permit, revision, true, now};
    if (revision < limited.latest || permit.server_started_at < limited.started_at) {
        return; // a later change of another permit decides
    }
    limited.latest = revision;
    if (permit.has_ended) {
        limited.requests_per_second.reset();
        return;
    }
    limited.region = permit.region;
    start_limit(limited, limited.requests_per_second.value_or(permit.requests_per_second), now);
}

void request_rate_limits::erase(const std::string& server, std::uint32_t number,
                                fleet::store_revision revision, base::time_point now) {
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return;
    }
    auto& item = found->second.permits[number];
    if (revision < item.revision) {
        return;
    }
    item.revision = revision;
    item.exists = false;
    item.changed_at = now;
}

bool request_rate_limits::is_own(const limited_server& limited, const listed_permit& item) const {
    return item.exists && !item.permit.has_ended && !m_session.empty() &&
           item.permit.holder == m_own_gateway && item.permit.session == m_session &&
           item.permit.server_started_at == limited.started_at;
}

bool request_rate_limits::is_free(const limited_server& limited, std::uint32_t number) const {
    const auto found = limited.permits.find(number);
    if (found == limited.permits.end()) {
        return true;
    }
    const auto& item = found->second;
    // A permit of an earlier process of this gateway is not used any more.
    const bool is_leftover = item.permit.holder == m_own_gateway && item.permit.session != m_session;
    return !item.exists || item.permit.has_ended || is_leftover ||
           item.permit.server_started_at != limited.started_at;
}

bool request_rate_limits::is_in_force(const std::string& id, const limited_server& limited,
                                      base::time_point now) const {
    if (!limited.requests_per_second) {
        return false;
    }
    const bool has_holder = std::any_of(limited.permits.begin(), limited.permits.end(),
                                        [&](const auto& item) { return !is_free(limited, item.first); });
    return has_holder || now < limited.heard_at + memory_for(id);
}

base::duration request_rate_limits::memory_for(const std::string& id) const {
    const auto steps = static_cast<std::uint64_t>(base::to_milliseconds(limit_memory_spread));
    return limit_memory + std::chrono::milliseconds{base::rendezvous_rank(id, m_own_gateway) % steps};
}

bool request_rate_limits::is_limited(const std::string& server, base::time_point now) const {
    const auto found = m_servers.find(server);
    return found != m_servers.end() && is_in_force(server, found->second, now);
}

std::uint32_t request_rate_limits::held_permits(const limited_server& limited, base::time_point now) const {
    if (!limited.requests_per_second || now >= m_lease_valid_until) {
        return 0;
    }
    const auto count = permit_count(*limited.requests_per_second);
    return static_cast<std::uint32_t>(
        std::count_if(limited.permits.begin(), limited.permits.end(),
                      [&](const auto& item) { return item.first < count && is_own(limited, item.second); }));
}

double request_rate_limits::permitted_rate(const limited_server& limited, base::time_point now) const {
    const double total = std::max(minimum_rate, limited.requests_per_second.value_or(0.0));
    return total * held_permits(limited, now) / permit_count(total);
}

void request_rate_limits::refill(limited_server& limited, base::time_point now) const {
    const double earned = permitted_rate(limited, now) * base::to_seconds(now - limited.refilled_at);
    limited.tokens = std::min(limited.tokens + earned, permit_burst * held_permits(limited, now));
    limited.refilled_at = now;
}

bool request_rate_limits::allows(const std::string& server, base::time_point now) {
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !is_in_force(server, found->second, now)) {
        return true;
    }
    refill(found->second, now);
    return found->second.tokens >= 1.0;
}

bool request_rate_limits::try_acquire(const std::string& server, base::time_point now) {
    if (!allows(server, now)) {
        return false;
    }
    if (is_limited(server, now)) {
        m_servers.at(server).tokens -= 1.0;
    }
    return true;
}

base::duration request_rate_limits::time_until_allowed(const std::string& server, base::time_point now) {
    if (allows(server, now)) {
        return base::duration::zero();
    }
    const auto& limited = m_servers.at(server);
    const double rate = permitted_rate(limited, now);
    return rate > 0.0 ? seconds_to_duration((1.0 - limited.tokens) / rate) : unpermitted_retry_after;
}

void request_rate_limits::set_lease(std::string session, base::time_point valid_until) {
    m_session = std::move(session);
    m_lease_valid_until = valid_until;
}

bool request_rate_limits::needs_lease(base::time_point now) const {
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&](const auto& item) { return held_permits(item.second, now) > 0; });
}

std::vector<std::uint32_t> request_rate_limits::permits_free_for(const limited_server& limited,
                                                                 base::duration length,
                                                                 base::time_point now) const {
    std::vector<std::uint32_t> numbers;
    for (std::uint32_t number = 0; number < permit_count(*limited.requests_per_second); ++number) {
        const auto listed = limited.permits.find(number);
        const auto free_since = listed == limited.permits.end()
                                    ? limited.limited_since
                                    : std::max(limited.limited_since, listed->second.changed_at);
        const auto deferred = limited.claim_not_before.find(number);
        const bool is_deferred = deferred != limited.claim_not_before.end() && now < deferred->second;
        if (is_free(limited, number) && !is_deferred && now >= free_since + length) {
            numbers.push_back(number);
        }
    }
    return numbers;
}

base::duration request_rate_limits::claim_delay(const limited_server& limited,
                                                std::optional<std::size_t> rank, base::time_point now) const {
    if (!rank) {
        return other_region_patience;
    }
    const auto held = held_permits(limited, now);
    if (held > 0) {
        return further_claim_patience + further_claim_step * static_cast<std::int64_t>(held - 1 + *rank);
    }
    return claim_patience * static_cast<std::int64_t>(*rank / permit_count(*limited.requests_per_second));
}

std::optional<std::uint32_t> request_rate_limits::permit_to_claim(const std::string& id,
                                                                  const limited_server& limited,
                                                                  const gateway_map& gateways,
                                                                  base::time_point now) const {
    if (permits_free_for(limited, base::duration::zero(), now).empty()) {
        return std::nullopt;
    }
    const auto rank = gateways.own_rank_for(id, limited.region, now);
    const auto available = permits_free_for(limited, claim_delay(limited, rank, now), now);
    if (available.empty()) {
        return std::nullopt;
    }
    // Different gateways prefer different permits, so that their claims rarely conflict.
    const auto preferred = rank.value_or(0);
    const bool is_available = std::find(available.begin(), available.end(), preferred) != available.end();
    return is_available ? static_cast<std::uint32_t>(preferred) : available[preferred % available.size()];
}

std::vector<fleet::permit_claim> request_rate_limits::due_claims(const gateway_map& gateways,
                                                                 base::time_point now) const {
    std::vector<fleet::permit_claim> claims;
    for (const auto& [id, limited] : m_servers) {
        if (!is_in_force(id, limited, now)) {
            continue;
        }
        const auto number = permit_to_claim(id, limited, gateways, now);
        if (!number) {
            continue;
        }
        const auto listed = limited.permits.find(*number);
        const bool exists = listed != limited.permits.end() && listed->second.exists;
        claims.push_back({{id, limited.started_at, limited.region, *number, m_own_gateway, m_session,
                           *limited.requests_per_second, false},
                          exists ? listed->second.revision.number : 0});
    }
    return claims;
}

void request_rate_limits::defer_claim(const fleet::request_permit& permit, base::time_point now) {
    if (const auto found = m_servers.find(permit.server); found != m_servers.end()) {
        found->second.claim_not_before[permit.number] = now + claim_retry_delay;
    }
}

std::vector<fleet::permit_release> request_rate_limits::due_releases() const {
    std::vector<fleet::permit_release> releases;
    for (const auto& [id, limited] : m_servers) {
        if (!limited.release_is_due) {
            continue;
        }
        fleet::permit_release release{id, {}};
        for (const auto& [number, item] : limited.permits) {
            if (is_own(limited, item)) {
                release.held.push_back({item.permit, item.revision.number});
            }
        }
        if (!release.held.empty()) {
            releases.push_back(std::move(release));
        }
    }
    return releases;
}

void request_rate_limits::finish_release(const fleet::permit_release& release, fleet::store_revision revision,
                                         base::time_point now) {
    const auto found = m_servers.find(release.server);
    if (found == m_servers.end()) {
        return;
    }
    found->second.release_is_due = false;
    for (const auto& item : release.held) {
        erase(release.server, item.permit.number, revision, now);
    }
}

void request_rate_limits::forget_expired(base::time_point now) {
    std::erase_if(m_servers, [&](const auto& item) {
        const auto& [id, limited] = item;
        const bool has_permit = std::any_of(limited.permits.begin(), limited.permits.end(),
                                            [](const auto& listed) { return listed.second.exists; });
        return !has_permit && !is_in_force(id, limited, now);
    });
}

} // namespace carawayway::placement
