// What an entry instance knows and has learned about one backend server that it owns.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/steering/server_lifecycle.hpp"
#include "carawayway/steering/server_spec.hpp"

#include <cstdint>
#include <optional>

namespace carawayway::steering {

// Whether a server may get requests at a given time.
enum class placement : std::uint8_t {
    closed, // starting, draining, gone or isolated
    held,   // ejected, or paused after errors: used only when no server is open
    probe,  // ejection is over: one request may test it; otherwise like `held`
    open,
};

// What the pool knows at the completion of a request, to tell a fault of one server from one common to all.
struct pool_view {
    std::optional<base::duration> typical_latency;
    double peers_success = 0.0; // sum over the other servers in normal operation
    std::uint32_t peers = 0;    // number of these servers
    double timeout_share = 0.0; // of the pool's recent requests, each after an answer of the same server
    double jitter = 0.0;        // random in 0..1, spreads the end of ejections
};

class backend_server {
public:
    backend_server(server_spec spec, base::time_point now);

    // A known server keeps its requests in flight and what was learned about it.
    void update(const server_spec& spec, base::time_point now);
    void drain(base::time_point now);
    void undrain(base::time_point now);
    void remove();
    void restart_warm_up(base::time_point now);

    // Takes the time-driven transition from warming to active.
    void advance(base::time_point now);

    void dispatched(base::time_point now);
    void isolate() { m_isolated = true; }
    bool isolated() const { return m_isolated; }

    // Counts the request out and learns from it.
    void completed(completion_kind kind, base::duration latency, const pool_view& pool,
                   const pool_limits& limits, base::time_point now);
    void record_load_report(std::uint32_t in_flight, base::duration age, base::time_point now);

    const server_spec& spec() const { return m_spec; }
    server_state state() const { return m_lifecycle.state(); }
    std::uint32_t in_flight() const { return m_in_flight; }
    std::uint32_t ceiling() const;
    std::uint32_t limit(const pool_limits& limits, base::time_point now) const; // never above ceiling()
    placement place(base::time_point now) const;
    // Takes part in the pool's normal operation: open or isolated.
    bool healthy(base::time_point now) const;
    // Takes part in the mean success of the pool.
    bool compared() const;
    // Its latest requests were lost or timed out.
    bool in_doubt() const { return m_points > 0.0; }
    double success() const { return m_success; }
    // Lower is better. The caller passes the limit it has already computed.
    double score(std::uint32_t limit, std::optional<base::duration> typical, const pool_limits& limits,
                 base::time_point now) const;
    // The next time at which limit() or place() changes by time alone.
    std::optional<base::time_point> next_change(const pool_limits& limits, base::time_point now) const;
    server_status status(const pool_limits& limits, base::time_point now) const;

private:
    void open(base::time_point now, base::duration warmth);
    void learn_success(double outcome, const pool_view& pool, const pool_limits& limits,
                       base::time_point now);
    void learn_latency(base::duration latency, const pool_view& pool, const pool_limits& limits,
                       base::time_point now);
    void learn_shed(const pool_limits& limits, base::time_point now);
    void learn_contact();
    void learn_loss(double points, double jitter, const pool_limits& limits, base::time_point now);
    double ramp(base::time_point now) const;
    double shed_limit(const pool_limits& limits, base::time_point now) const;
    double error_share(const pool_limits& limits, base::time_point now) const;
    double current_success(const pool_limits& limits, base::time_point now) const;
    double relative_latency(std::optional<base::duration> typical, const pool_limits& limits,
                            base::time_point now) const;
    double latency_factor(std::optional<base::duration> typical, const pool_limits& limits,
                          base::time_point now) const;
    double reported_excess(const pool_limits& limits, base::time_point now) const;

    server_spec m_spec;
    server_lifecycle m_lifecycle;
    std::uint32_t m_in_flight = 0;
    bool m_isolated = false; // holds one request that must run alone
    base::time_point m_ramp_start;
    base::time_point m_drained_at;
    base::duration m_drained_warmth{}; // progress of the warm-up when the drain began

    double m_shed_limit; // slots left at m_shed_at; rises by recovery_per_second
    base::time_point m_shed_at;
    bool m_shed_seen = false;

    double m_success = 1.0; // moving share of outcomes that were not errors
    double m_share = 1.0;   // part of the usable limit left by errors
    base::time_point m_success_at;
    base::time_point m_paused_until;

    double m_latency_seconds = 0.0; // zero until the first answer
    base::time_point m_latency_at;

    double m_points = 0.0;              // evidence of a fault since the last contact
    std::uint32_t m_ejections = 0;      // sets the length of the next ejection
    std::uint32_t m_contact_streak = 0; // contacts in a row
    std::uint32_t m_probes = 0;         // requests in flight since the ejection ended
    base::time_point m_ejected_until;

    std::uint32_t m_reported_excess = 0; // reported above our own requests in flight
    base::time_point m_reported_at;
};

} // namespace carawayway::steering
