// The state of one service at this entry instance: its own servers, queued requests and retry budget.
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

class local_service {
public:
    local_service(const config::service_policy& policy, std::uint64_t seed, base::time_point now);

    // A server gets new work only while this entry instance owns it and no source reports it as draining.
    void set_owned(const steering::server_spec& spec, base::time_point now);
    void set_not_owned(const std::string& server, base::time_point now);
    void set_draining(const std::string& server, wire::drain_evidence evidence, base::time_point now);
    void clear_draining(const std::string& server, wire::drain_evidence evidence, base::time_point now);
    bool is_draining(const std::string& server) const;

    std::string name;
    steering::server_pool<> pool;
    steering::admission_queue queue;
    steering::retry_budget retries;

    base::duration typical_latency() const { return pool.typical_latency().value_or(base::duration::zero()); }
    // A request with less remaining time than this is not dispatched.
    base::duration minimum_remaining_time() const;

private:
    struct eligibility {
        bool owned = false;
        std::set<wire::drain_evidence> draining; // sources that report it as draining
    };

    void apply(const std::string& server, const eligibility& state, base::time_point now);

    config::request_semantics m_semantics;
    std::map<std::string, eligibility> m_eligibility;
};

} // namespace carawayway::engine
