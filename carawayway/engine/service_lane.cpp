// Combines ownership and draining into the pool's notion of a usable server.
#include "carawayway/engine/service_lane.hpp"

namespace carawayway::engine {

namespace {

// A non-idempotent request whose time runs out at the server has an unknown outcome, which is worse than a
// refusal: more time is kept for the server's work.
constexpr double non_idempotent_reserve = 1.5;

steering::queue_limits to_queue_limits(const config::service_policy& policy) {
    steering::queue_limits limits;
    limits.capacity = policy.queue_limit;
    if (policy.semantics == config::request_semantics::non_idempotent) {
        limits.reserve_factor = non_idempotent_reserve;
        limits.minimum_reserve_factor = 1.0; // what least_remaining() asks for at the dispatch
    }
    return limits;
}

} // namespace

service_lane::service_lane(const config::service_policy& policy, std::uint64_t seed, base::time_point now)
    : name(policy.name), pool(steering::pool_limits{}, std::mt19937_64(seed)), queue(to_queue_limits(policy)),
      retries(steering::retry_limits{.share = policy.retry_share}, now), m_semantics(policy.semantics) {}

base::duration service_lane::least_remaining() const {
    if (m_semantics == config::request_semantics::idempotent) {
        return typical_latency();
    }
    return pool.tail_latency().value_or(typical_latency());
}

void service_lane::set_owned(const steering::server_spec& spec, base::time_point now) {
    pool.upsert(spec, now);
    auto& state = m_gates[spec.name];
    state.owned = true;
    apply(spec.name, state, now);
}

void service_lane::set_not_owned(const std::string& server, base::time_point now) {
    auto& state = m_gates[server];
    state.owned = false;
    apply(server, state, now);
}

void service_lane::set_draining(const std::string& server, wire::drain_evidence evidence,
                                base::time_point now) {
    auto& state = m_gates[server];
    state.draining.insert(evidence);
    apply(server, state, now);
}

void service_lane::withdraw_draining(const std::string& server, wire::drain_evidence evidence,
                                     base::time_point now) {
    auto& state = m_gates[server];
    state.draining.erase(evidence);
    apply(server, state, now);
}

bool service_lane::draining(const std::string& server) const {
    const auto found = m_gates.find(server);
    return found != m_gates.end() && !found->second.draining.empty();
}

void service_lane::apply(const std::string& server, const gate& state, base::time_point now) {
    if (state.owned && state.draining.empty()) {
        pool.undrain(server, now);
    } else {
        pool.drain(server, now);
    }
}

} // namespace carawayway::engine
