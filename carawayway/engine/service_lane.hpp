// What this entry instance holds for one service: its own servers, the waiting requests and the retry budget.
#pragma once

#include "carawayway/config/policy.hpp"
#include "carawayway/steering/admission_queue.hpp"
#include "carawayway/steering/retry_budget.hpp"
#include "carawayway/steering/server_pool.hpp"
#include "carawayway/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace carawayway::engine {

class service_lane {
public:
    service_lane(const config::service_policy& policy, std::uint64_t seed, base::time_point now);

    // A server gets new work only while this entry owns it and no evidence says that it is leaving.
    void set_owned(const steering::server_spec& spec, base::time_point now);
    void set_not_owned(const std::string& server, base::time_point now);
    void set_draining(const std::string& server, wire::drain_evidence evidence, base::time_point now);
    void withdraw_draining(const std::string& server, wire::drain_evidence evidence, base::time_point now);
    bool draining(const std::string& server) const;

    std::string name;
    steering::server_pool<> pool;
    steering::admission_queue queue;
    steering::retry_budget retries;

    base::duration typical_latency() const { return pool.typical_latency().value_or(base::duration::zero()); }
    // Less remaining time is not worth a dispatch.
    base::duration least_remaining() const;

private:
    struct gate {
        bool owned = false;
        std::set<wire::drain_evidence> draining; // empty: the server is not leaving
    };

    void apply(const std::string& server, const gate& state, base::time_point now);

    config::request_semantics m_semantics;
    std::map<std::string, gate> m_gates;
};

} // namespace carawayway::engine
