// State of one backend server that this entry instance owns, and what its completions show about its health.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/steering/server_lifecycle.hpp"
#include "carawayway/steering/server_spec.hpp"

#include <cstdint>
#include <optional>

namespace carawayway::steering {

// Whether a server may receive requests at a given time.
enum class server_eligibility : std::uint8_t {
    ineligible, // starting, draining, gone or isolated
    fallback,   // ejected, or paused after errors: used only while no server is healthy
    probe,      // its ejection is over: one request may test it; otherwise like `fallback`
    eligible,
};

// Statistics of the pool at the completion of a request, to tell a fault of one server from a fault of all.
struct pool_statistics {
    std::optional<base::duration> typical_latency;
    double other_success_rates = 0.0; // success rates of the other servers in rotation, added up
    std::uint32_t other_servers = 0;  // number of other servers in rotation
    double timeout_share = 0.0; // of recent requests; counts only the first of several timeouts of a server
    double jitter = 0.0;        // random in [0, 1), spreads the ends of ejections
};

class backend_server {
public:
    backend_server(server_spec spec, base::time_point now);

    // Keeps the requests in flight and the statistics of the server.
    void update(const server_spec& spec, base::time_point now);
    void drain(base::time_point now);
    void undrain(base::time_point now);
    void remove();
    void restart_warm_up(base::time_point now);

    // Changes the state from warming to active if the warm-up time is over.
    void end_warm_up_if_due(base::time_point now);

    void record_dispatch(base::time_point now);
    void isolate() { m_isolated = true; }
    bool is_isolated() const { return m_isolated; }

    // Decrements the requests in flight and updates the statistics from the result.
    void record_completion(completion_kind kind, base::duration latency, const pool_statistics& pool,
                           const pool_limits& limits, base::time_point now);
    void record_load_report(std::uint32_t in_flight, base::duration age, base::time_point now);

    const server_spec& spec() const { return m_spec; }
    server_state state() const { return m_lifecycle.state(); }
    std::uint32_t in_flight() const { return m_in_flight; }
    // The slots of the server or its connections, whichever is less.
    std::uint32_t configured_concurrency() const;
    // Requests that may be in flight now: at most configured_concurrency(), less during a warm-up and after
    // sheds and errors.
    std::uint32_t concurrency_limit(const pool_limits& limits, base::time_point now) const;
    server_eligibility eligibility(base::time_point now) const;
    // In rotation, not paused and with slots; also true while the server is isolated.
    bool is_healthy(base::time_point now) const;
    // Warming or active: counts for the pool's mean success rate.
    bool is_in_rotation() const;
    // Requests were lost or timed out since the last response.
    bool has_recent_losses() const { return m_loss_score > 0.0; }
    double success_rate() const { return m_success_rate; }
    // Rank of the server for a choice: lower is better. `concurrency_limit` is the result of
    // concurrency_limit(), which the caller has at hand.
    double score(std::uint32_t concurrency_limit, std::optional<base::duration> typical,
                 const pool_limits& limits, base::time_point now) const;
    // The next time at which concurrency_limit() or eligibility() changes without an event; none when neither
    // does.
    std::optional<base::time_point> next_change(const pool_limits& limits, base::time_point now) const;
    server_status status(const pool_limits& limits, base::time_point now) const;

private:
    void enter_service(base::time_point now, base::duration warm_up_progress);
    void update_success_rate(double outcome, const pool_statistics& pool, const pool_limits& limits,
                             base::time_point now);
    void update_latency(base::duration latency, const pool_statistics& pool, const pool_limits& limits,
                        base::time_point now);
    void lower_shed_limit(const pool_limits& limits, base::time_point now);
    void record_response();
    void record_loss(double score, double jitter, const pool_limits& limits, base::time_point now);
    double warm_up_limit(base::time_point now) const;
    double shed_limit(const pool_limits& limits, base::time_point now) const;
    double limit_factor(const pool_limits& limits, base::time_point now) const;
    double current_success_rate(const pool_limits& limits, base::time_point now) const;
    double relative_latency(std::optional<base::duration> typical, const pool_limits& limits,
                            base::time_point now) const;
    double latency_factor(std::optional<base::duration> typical, const pool_limits& limits,
                          base::time_point now) const;
    double reported_excess(const pool_limits& limits, base::time_point now) const;

    server_spec m_spec;
    server_lifecycle m_lifecycle;
    std::uint32_t m_in_flight = 0;
    bool m_isolated = false; // one request runs here that must run alone
    base::time_point m_warm_up_start;
    base::time_point m_drained_at;
    base::duration m_warm_up_progress_at_drain{}; // when the drain began

    double m_shed_limit; // slots usable at m_shed_at; rises by shed_recovery_per_second
    base::time_point m_shed_at;
    bool m_shed_seen = false;

    double m_success_rate = 1.0; // moving average of outcomes: 1 for an answer, 0 for an error
    double m_limit_factor = 1.0; // factor on the concurrency limit, below 1 after errors
    base::time_point m_success_rate_at;
    base::time_point m_paused_until;

    double m_latency_seconds = 0.0; // zero until the first sample
    base::time_point m_latency_at;

    double m_loss_score = 0.0;                 // losses and timeouts since the last response, weighted
    std::uint32_t m_ejections = 0;             // each doubles the length of the next; reset by responses
    std::uint32_t m_consecutive_responses = 0; // responses without a loss or timeout in between
    std::uint32_t m_probes = 0;                // probe requests in flight
    base::time_point m_ejected_until;

    std::uint32_t m_reported_excess = 0; // reported requests in flight beyond those of this entry
    base::time_point m_reported_at;
};

} // namespace carawayway::steering
