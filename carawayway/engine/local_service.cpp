// Derives from ownership and draining which servers of the pool may get new work.
#include "carawayway/engine/local_service.hpp"

namespace carawayway::engine {

namespace {

// A non-idempotent request that times out at the server has an unknown outcome, which is worse than a
// refusal. The queue therefore reserves more time for the server's work than for idempotent requests.
constexpr double non_idempotent_reserve_factor = 1.5;

steering::queue_limits to_queue_limits(const config::service_policy& policy) {
    steering::queue_limits limits;
    limits.capacity = policy.queue_limit;
    if (policy.semantics == config::request_semantics::non_idempotent) {
        limits.reserve_factor = non_idempotent_reserve_factor;
        limits.minimum_reserve_factor = 1.0; // matches minimum_remaining_time() at dispatch
    }
    return limits;
}

} // namespace

local_service::local_service(const config::service_policy& policy, std::uint64_t seed, base::time_point now)
    : name(policy.name), pool(steering::pool_limits{}, std::mt19937_64(seed)), queue(to_queue_limits(policy)),
      retries(steering::retry_limits{.share = policy.retry_share}, now), m_semantics(policy.semantics) {}

base::duration local_service::minimum_remaining_time() const {
    if (m_semantics == config::request_semantics::idempotent) {
        return typical_latency();
    }
    return pool.tail_latency().value_or(typical_latency());
}

void local_service::set_owned(const steering::server_spec& spec, base::time_point now) {
    pool.upsert(spec, now);
    auto& state = m_eligibility[spec.name];
    state.owned = true;
    apply(spec.name, state, now);
}

void local_service::set_not_owned(const std::string& server, base::time_point now) {
    auto& state = m_eligibility[server];
    state.owned = false;
    apply(server, state, now);
}

void local_service::set_draining(const std::string& server, wire::drain_evidence evidence,
                                 base::time_point now) {
    auto& state = m_eligibility[server];
    state.draining.insert(evidence);
    apply(server, state, now);
}

void local_service::clear_draining(const std::string& server, wire::drain_evidence evidence,
                                   base::time_point now) {
    auto& state = m_eligibility[server];
    state.draining.erase(evidence);
    apply(server, state, now);
}

bool local_service::is_draining(const std::string& server) const {
    const auto found = m_eligibility.find(server);
    return found != m_eligibility.end() && !found->second.draining.empty();
}

void local_service::apply(const std::string& server, const eligibility& state, base::time_point now) {
    if (state.owned && state.draining.empty()) {
        pool.undrain(server, now);
    } else {
        pool.drain(server, now);
    }
}

} // namespace carawayway::engine
