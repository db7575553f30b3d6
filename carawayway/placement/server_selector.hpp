// Selects the backend server for a request, preferring a server with affinity to its object as long as the
// expected latency permits.
#pragma once

#include "carawayway/placement/affinity_cache.hpp"
#include "carawayway/placement/load_shedder.hpp"
#include "carawayway/placement/overload_detector.hpp"
#include "carawayway/placement/region_shift_limiter.hpp"
#include "carawayway/placement/region_spillover.hpp"
#include "carawayway/placement/round_trip_estimator.hpp"
#include "carawayway/placement/run_time_estimator.hpp"
#include "carawayway/placement/run_time_trials.hpp"
#include "carawayway/placement/server_table.hpp"
#include "carawayway/routing/configuration.hpp"
#include "carawayway/routing/region_restriction.hpp"

#include <optional>
#include <span>

namespace carawayway::placement {

struct placement_request {
    const routing::route& route;
    const std::string& service;
    // Hash of the service and the object that the request concerns (its affinity key), or of the service and
    // the request ID when it concerns none.
    std::uint64_t object_hash = 0;
    base::duration time_left{};                 // until the deadline
    base::duration target_time_left{};          // until the target latency is missed; may be negative
    std::span<const std::string> tried_servers; // IDs of servers to which the request was sent before

    bool has_object = false;
    routing::region_restriction regions{}; // of the route and the account
    std::uint32_t priority = 0;            // of the route or the account; 0 is the highest
    // Spread evenly over 0..1, to choose among requests of the same rank. Without it, the request is not
    // rejected in favour of others.
    std::optional<double> draw{};
    // Whether the request may be sent to test a run time that is expected to be too long.
    bool allows_trial = false;
};

enum class refusal : std::uint8_t {
    none,
    no_server,  // no server is usable
    too_late,   // every usable server would miss the deadline
    overload,   // the service is overloaded, and the answer would be late
    rate_limit, // every usable server limits the rate of its requests
    resting,    // every usable server rests, or limits the rate of its requests
};

// What an expected latency is made of, besides the round trip and the speed of the server.
struct latency_estimate {
    base::duration wait{};     // until the request would start to run
    base::duration run_time{}; // on a server of usual speed
    run_time_basis basis = run_time_basis::none;

    bool operator==(const latency_estimate&) const = default;
};

struct placement_result {
    server_handle server; // null when the request is refused
    refusal reason = refusal::none;
    object_cache_state cache_state = object_cache_state::not_cached;
    base::duration expected_latency{}; // until the answer arrives
    base::duration retry_after{};      // for a refused request
    // Of the earliest answer, for a request that is refused as too late.
    latency_estimate estimate{};
    bool is_trial = false; // sent to test a run time that is expected to be too long
};

class server_selector {
public:
    // Minimum time after which a refused caller is told to retry, and the default without an estimate.
    static constexpr base::duration minimum_retry_after = std::chrono::milliseconds{100};

    server_selector(server_table& servers, run_time_estimator& run_times, const affinity_cache& affinity,
                    const round_trip_estimator& round_trips, region_shift_limiter& shift_limiter,
                    region_spillover& spillover)
        : m_servers(servers), m_run_times(run_times), m_affinity(affinity), m_round_trips(round_trips),
          m_shift_limiter(shift_limiter), m_spillover(spillover) {}

    // Selects a server or refuses the request. The request must be sent to the returned server, since it is
    // counted against the limits of servers and of shifts between regions.
    placement_result choose(const placement_request& request, base::time_point now);

    // Records that a successful answer took `run_time` at the server, without waiting in its queue.
    void observe(server_state& server, const std::string& route, const std::string& service,
                 object_cache_state cache_state, base::duration run_time, base::time_point now);

    // Records a successful answer that took at most `run_time`, since it waited or came from a cold server.
    void observe_delayed(const std::string& route, const std::string& service, object_cache_state cache_state,
                         base::duration run_time, base::time_point now);

    // Records the load that a server of the region has reported: requests in progress divided by slots.
    void record_load(const std::string& service, const std::string& region, double load,
                     base::time_point now);
    // Part of the requests for the service that is rejected now in favour of others, 0..1.
    double rejected_part(const std::string& service, base::time_point now) const;

    // Expected time until a new request would start to run at the server.
    base::duration expected_wait(const server_state& server, base::time_point now) const;

private:
    struct scored_server {
        server_handle server;
        object_cache_state cache_state = object_cache_state::not_cached;
        base::duration expected_latency{};
        base::duration cost{}; // expected latency plus penalties
    };

    struct server_shortlist {
        std::vector<server_handle> servers;
        // Until one of the servers that were left out because of their rate limit may get a request.
        std::optional<base::duration> rate_limited_for;
        // Until one of the servers that were left out because they rest may get a request.
        std::optional<base::duration> resting_for;
    };

    // The highest ranked usable servers for the object in the own region and in the others, best first, and
    // the other servers of the own region for whose limited rate this gateway has a permit.
    server_shortlist shortlist(const placement_request& request, base::time_point now) const;
    // Refuses a request for which servers were left out of the list, or that has no usable server.
    static placement_result refused_without_server(const server_shortlist& shortlisted);
    // Counts a request to the server against the limits. Returns whether they allow it.
    bool try_acquire(const scored_server& item, region_shift_reason reason, base::time_point now);
    // Whether the request may be sent to the server although its run time is expected to be too long.
    bool may_test_run_time(const placement_request& request, const scored_server& item,
                           base::time_point now) const;
    // Refuses a request that none of the servers, of which there is at least one, would answer in time.
    placement_result refused_as_too_late(const placement_request& request,
                                         const std::vector<scored_server>& scored_servers,
                                         base::time_point now) const;
    // Penalty for a server other than the preferred one.
    base::duration additional_cost(const server_state& preferred, const server_state& other) const;
    scored_server evaluate(const placement_request& request, server_handle server,
                           const server_state& preferred, base::time_point now) const;
    const server_state* preferred_server(const placement_request& request,
                                         const std::vector<server_handle>& shortlisted,
                                         base::time_point now) const;
    // Whether the request yields to others, as the service gets more than its servers can run in time.
    bool is_shed(const placement_request& request, const server_state& server, base::time_point now);
    // Operators place gateways where the callers are, so the number of gateways stands in for that of callers
    // until load is reported.
    region_spillover::region_proportions own_region_proportions(const std::string& service) const;
    // Swaps the first and the second choice of the own region for objects that are diverted to the second
    // one.
    void order_by_load(const placement_request& request, std::vector<server_handle>& shortlisted,
                       base::time_point now) const;
    // Adjusts the share of objects that the first choice diverts by the load of both servers, and tells
    // whether the object is among them.
    bool is_diverted_to_second(const placement_request& request, server_state& first,
                               const server_state& second, base::time_point now) const;

    server_table& m_servers;
    run_time_estimator& m_run_times;
    const affinity_cache& m_affinity;
    const round_trip_estimator& m_round_trips;
    region_shift_limiter& m_shift_limiter;
    region_spillover& m_spillover;
    overload_detector m_overload;
    load_shedder m_shedder;
    run_time_trials m_trials;
};

} // namespace carawayway::placement
