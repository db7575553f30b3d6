// Combines ownership and draining into the pool's notion of a usable server.
#include "carawayway/engine/service_lane.hpp"

namespace carawayway::engine {

service_lane::service_lane(const config::service_policy& policy, std::uint64_t seed, base::time_point now)
    : name(policy.name), pool(steering::pool_limits{}, std::mt19937_64(seed)),
      queue(steering::queue_limits{.capacity = policy.queue_limit}),
      retries(steering::retry_limits{.share = policy.retry_share}, now) {}

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
