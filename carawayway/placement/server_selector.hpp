// Chooses the backend server for a request: affinity first, while the expected completion allows it.
#pragma once

#include "carawayway/placement/affinity_cache.hpp"
#include "carawayway/placement/overload_detector.hpp"
#include "carawayway/placement/region_shift_limiter.hpp"
#include "carawayway/placement/region_spillover.hpp"
#include "carawayway/placement/round_trip_estimator.hpp"
#include "carawayway/placement/run_time_estimator.hpp"
#include "carawayway/placement/server_table.hpp"
#include "carawayway/routing/configuration.hpp"

#include <span>

namespace carawayway::placement {

struct placement_request {
    const routing::route& route;
    const std::string& service;
    std::uint64_t object = 0;           // hash of service and object, or of the request when it concerns none
    base::duration time_left{};         // until the answer is useless
    base::duration target_left{};       // until the answer loses most of its value; may be negative
    std::span<const std::string> tried; // IDs of servers that already had the request

    bool concerns_object = false;
};

enum class refusal : std::uint8_t {
    none,
    no_server, // none is usable
    too_late,  // all usable servers would take longer than the time that is left
    overload,  // the answer would be late, as most are at the moment
};

struct placement_result {
    server_handle server; // null: refused
    refusal reason = refusal::none;
    object_cache_state cache_state = object_cache_state::not_cached;
    base::duration expected_latency{}; // until the answer arrives
    base::duration retry_after{};      // for refusals
};

class server_selector {
public:
    // Advice to callers when nothing better is known.
    static constexpr base::duration minimum_retry_after = std::chrono::milliseconds{100};

    server_selector(server_table& servers, run_time_estimator& times, const affinity_cache& affinity,
                    const round_trip_estimator& trips, region_shift_limiter& shifts, region_spillover& spill)
        : m_servers(servers), m_times(times), m_affinity(affinity), m_trips(trips), m_shifts(shifts),
          m_spill(spill) {}

    // The caller sends the request to the server that is returned: it counts against cold limits and shifts.
    placement_result choose(const placement_request& request, base::time_point now);

    // A good answer took `run_time` at the server, without waiting there.
    void observe(server_state& server, const std::string& route, const std::string& service,
                 object_cache_state warmth, base::duration run_time, base::time_point now);

    // Time until a new request would start to run at the server.
    base::duration expected_wait(const server_state& server, base::time_point now) const;

private:
    struct option {
        server_handle server;
        object_cache_state cache_state = object_cache_state::not_cached;
        base::duration expected_latency{};
        base::duration cost{}; // the expected time with what the choice costs besides
    };

    std::vector<server_handle> shortlist(const placement_request& request) const;
    // What a choice other than the preferred server costs besides its time.
    base::duration cost_beside(const server_state& preferred, const server_state& other) const;
    option evaluate(const placement_request& request, server_handle server, const server_state& preferred,
                    base::time_point now) const;
    const server_state* preferred(const placement_request& request, const std::vector<server_handle>& listed,
                                  base::time_point now) const;
    // Operators place gateways by callers, so their number stands for the callers until load is reported.
    region_spillover::region_size own_region_size(const std::string& service) const;
    // Puts the second choice of the own region first for objects that move.
    void order_by_load(const placement_request& request, std::vector<server_handle>& listed,
                       base::time_point now) const;
    // Moves some objects of a server that is busier than the second choice of its region.
    bool moves_to_second(const placement_request& request, server_state& first, const server_state& second,
                         base::time_point now) const;

    server_table& m_servers;
    run_time_estimator& m_times;
    const affinity_cache& m_affinity;
    const round_trip_estimator& m_trips;
    region_shift_limiter& m_shifts;
    region_spillover& m_spill;
    overload_detector m_overload;
};

} // namespace carawayway::placement
