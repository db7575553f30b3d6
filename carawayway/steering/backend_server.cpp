// Updates the state of one backend server from its completions: concurrency limit, success rate, latency and
// ejection.
#include "carawayway/steering/backend_server.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace carawayway::steering {

namespace {

constexpr double lost_request_score = 2.0;
// A timeout scores 1 when the pool's timeout share is at most this.
constexpr double rare_timeout_share = 0.01;
constexpr std::uint32_t responses_to_reset_ejections = 20;
constexpr std::uint32_t maximum_doublings = 16;
// Bounds of the latency relative to the pool's typical latency: limits the effect of an outlier on the score.
constexpr double minimum_latency_factor = 0.25;
constexpr double maximum_latency_factor = 16.0;
// Lower bound of the success rate, so that servers that all fail still compare as equal.
constexpr double minimum_success_rate = 0.01;
// A success rate or limit factor that has recovered to this value counts as 1. Otherwise, when all other
// servers are idle, the remainder of an old failure would always rank the server last, and it would get no
// request that could show its recovery.
constexpr double full_recovery_threshold = 0.95;
// Latencies within this factor of the typical latency are treated as equal: averages of few samples vary that
// much.
constexpr double latency_tolerance_factor = 1.5;
// Typical latency from which pauses are computed until one is measured.
constexpr base::duration assumed_typical_latency = std::chrono::milliseconds{20};
// How often the concurrency limit of a server is updated while its limit factor is below 1.
constexpr base::duration limit_factor_update_interval = std::chrono::seconds{1};

double seconds(base::duration value) {
    return base::to_seconds(value);
}

base::duration from_seconds(double value) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(value));
}

// Loss score of a timeout: the logarithm of its improbability. Where short deadlines make timeouts common on
// all servers, several in a row are no reason to eject one.
double timeout_score(double timeout_share) {
    const double share = std::clamp(timeout_share, rare_timeout_share, 1.0);
    return std::log(share) / std::log(rare_timeout_share);
}

// Weight of an observation of this age.
double decay(base::duration age, base::duration half_life) {
    if (age <= base::duration::zero()) {
        return 1.0;
    }
    return std::exp2(-seconds(age) / seconds(half_life));
}

} // namespace

backend_server::backend_server(server_spec spec, base::time_point now)
    : m_spec(std::move(spec)), m_warm_up_start(now), m_drained_at(now), m_shed_limit(m_spec.slots),
      m_shed_at(now), m_success_rate_at(now), m_paused_until(now), m_latency_at(now), m_ejected_until(now),
      m_reported_at(now) {
    enter_service(now, base::duration::zero());
}

void backend_server::enter_service(base::time_point now, base::duration warm_up_progress) {
    m_warm_up_start = now - warm_up_progress;
    const bool cold = warm_up_progress < m_spec.warm_up;
    m_lifecycle.apply(cold ? server_event::open_cold : server_event::open_warm);
}

void backend_server::update(const server_spec& spec, base::time_point now) {
    m_spec = spec;
    if (m_lifecycle.apply(server_event::rediscover) == transition::taken) {
        enter_service(now, base::duration::zero());
    }
}

void backend_server::drain(base::time_point now) {
    const base::duration warm_up_progress = now - m_warm_up_start;
    if (state() == server_state::draining || m_lifecycle.apply(server_event::drain) == transition::ignored) {
        return;
    }
    m_drained_at = now;
    m_warm_up_progress_at_drain = std::clamp(warm_up_progress, base::duration::zero(), m_spec.warm_up);
}

// Caches become cold during a drain: the progress of the warm-up is reduced by the length of the drain.
void backend_server::undrain(base::time_point now) {
    if (state() != server_state::draining) {
        return;
    }
    enter_service(now, std::max(base::duration::zero(), m_warm_up_progress_at_drain - (now - m_drained_at)));
}

void backend_server::remove() {
    m_lifecycle.apply(server_event::remove);
}

void backend_server::restart_warm_up(base::time_point now) {
    m_loss_score = 0.0;
    m_success_rate = 1.0;
    m_limit_factor = 1.0;
    m_shed_seen = false;
    m_latency_seconds = 0.0;
    m_paused_until = now;
    m_ejected_until = now;
    if (state() == server_state::draining) {
        m_warm_up_progress_at_drain = base::duration::zero();
        return;
    }
    m_warm_up_start = now;
    m_lifecycle.apply(server_event::restart);
    end_warm_up_if_due(now);
}

void backend_server::end_warm_up_if_due(base::time_point now) {
    if (state() == server_state::warming && now - m_warm_up_start >= m_spec.warm_up) {
        m_lifecycle.apply(server_event::warmed_up);
    }
}

void backend_server::record_dispatch(base::time_point now) {
    assert(!m_isolated);
    assert(eligibility(now) != server_eligibility::ineligible);
    if (eligibility(now) == server_eligibility::probe) {
        ++m_probes;
    }
    ++m_in_flight;
    assert(m_in_flight <= configured_concurrency());
}

void backend_server::record_completion(completion_kind kind, base::duration latency,
                                       const pool_statistics& pool, const pool_limits& limits,
                                       base::time_point now) {
    assert(m_in_flight > 0);
    --m_in_flight;
    m_isolated = false;
    m_probes = m_probes > 0 ? m_probes - 1 : 0;
    switch (kind) {
    case completion_kind::answered:
        record_response();
        update_latency(latency, pool, limits, now);
        update_success_rate(1.0, pool, limits, now);
        break;
    case completion_kind::failed:
        record_response();
        update_success_rate(0.0, pool, limits, now);
        break;
    case completion_kind::shed:
        record_response();
        lower_shed_limit(limits, now);
        update_success_rate(0.0, pool, limits, now);
        break;
    case completion_kind::lost:
    case completion_kind::not_sent:
        update_success_rate(0.0, pool, limits, now);
        record_loss(lost_request_score, pool.jitter, limits, now);
        break;
    case completion_kind::timed_out:
        update_latency(latency, pool, limits, now);
        record_loss(timeout_score(pool.timeout_share), pool.jitter, limits, now);
        break;
    case completion_kind::cancelled:
        break;
    }
}

void backend_server::record_load_report(std::uint32_t in_flight, base::duration age, base::time_point now) {
    // Ignores a report that is older than the latest one.
    if (now - age < m_reported_at) {
        return;
    }
    m_reported_at = now - age;
    m_reported_excess =
        in_flight > m_in_flight ? std::min(in_flight - m_in_flight, configured_concurrency()) : 0;
}

std::uint32_t backend_server::configured_concurrency() const {
    return m_spec.connections == 0 ? m_spec.slots : std::min(m_spec.slots, m_spec.connections);
}

std::uint32_t backend_server::concurrency_limit(const pool_limits& limits, base::time_point now) const {
    const std::uint32_t configured = configured_concurrency();
    if (configured == 0) {
        return 0;
    }
    const double usable =
        std::min({static_cast<double>(configured), warm_up_limit(now), shed_limit(limits, now)});
    // The small addend keeps a step that is due exactly now from being lost to rounding.
    const auto slots = static_cast<std::uint32_t>(usable * limit_factor(limits, now) + 1e-6);
    return std::clamp(slots, 1U, configured);
}

server_eligibility backend_server::eligibility(base::time_point now) const {
    if (m_isolated) {
        return server_eligibility::ineligible;
    }
    switch (state()) {
    case server_state::starting:
    case server_state::draining:
    case server_state::gone:
        return server_eligibility::ineligible;
    case server_state::suspect:
        return now >= m_ejected_until && m_probes == 0 ? server_eligibility::probe
                                                       : server_eligibility::fallback;
    case server_state::warming:
    case server_state::active:
        break;
    }
    return now < m_paused_until ? server_eligibility::fallback : server_eligibility::eligible;
}

bool backend_server::is_healthy(base::time_point now) const {
    return is_in_rotation() && configured_concurrency() > 0 && now >= m_paused_until;
}

bool backend_server::is_in_rotation() const {
    return state() == server_state::warming || state() == server_state::active;
}

double backend_server::score(std::uint32_t concurrency_limit, std::optional<base::duration> typical,
                             const pool_limits& limits, base::time_point now) const {
    const double load = (m_in_flight + 1.0 + reported_excess(limits, now)) / std::max(1U, concurrency_limit);
    const double success = current_success_rate(limits, now);
    return load * latency_factor(typical, limits, now) / (success * success);
}

std::optional<base::time_point> backend_server::next_change(const pool_limits& limits,
                                                            base::time_point now) const {
    std::optional<base::time_point> next;
    const auto consider = [&next, now](base::time_point time) {
        const base::time_point later = std::max(time, now + base::duration{1});
        next = next ? std::min(*next, later) : later;
    };
    if (state() == server_state::warming) {
        const double slope = (configured_concurrency() - 1.0) / seconds(m_spec.warm_up);
        const double step = std::floor(warm_up_limit(now) + 1e-6);
        const base::time_point end = m_warm_up_start + m_spec.warm_up;
        consider(slope > 0.0 ? std::min(end, m_warm_up_start + from_seconds(step / slope)) : end);
    }
    if (state() == server_state::suspect && m_ejected_until > now) {
        consider(m_ejected_until);
    }
    if (m_paused_until > now) {
        consider(m_paused_until);
    }
    if (shed_limit(limits, now) < configured_concurrency()) {
        const double missing = std::floor(shed_limit(limits, now) + 1e-6) + 1.0 - m_shed_limit;
        consider(m_shed_at + from_seconds(missing / limits.shed_recovery_per_second));
    }
    if (limit_factor(limits, now) < 1.0) {
        consider(now + limit_factor_update_interval);
    }
    return next;
}

server_status backend_server::status(const pool_limits& limits, base::time_point now) const {
    const bool usable = eligibility(now) != server_eligibility::ineligible;
    return {m_spec.name,
            state(),
            m_spec.slots,
            usable ? concurrency_limit(limits, now) : 0,
            m_in_flight,
            from_seconds(m_latency_seconds),
            current_success_rate(limits, now)};
}

// A success rate far below the pool's mean lowers the concurrency limit, and an error then also pauses the
// server: a fast error frees its slot at once, so without the pause the server would consume the whole queue.
// Errors that occur on all servers alike lower no limit.
void backend_server::update_success_rate(double outcome, const pool_statistics& pool,
                                         const pool_limits& limits, base::time_point now) {
    const double previous = current_success_rate(limits, now);
    m_success_rate = std::max(minimum_success_rate, previous + limits.success_weight * (outcome - previous));
    m_success_rate_at = now;
    const double mean = (pool.other_success_rates + m_success_rate) / (pool.other_servers + 1);
    const double relative = m_success_rate / mean;
    m_limit_factor = relative < limits.minimum_relative_success ? relative : 1.0;
    if (m_limit_factor == 1.0 || outcome > 0.0) {
        return;
    }
    const double pause =
        seconds(pool.typical_latency.value_or(assumed_typical_latency)) * (1.0 / relative - 1.0);
    m_paused_until = now + std::min(limits.longest_pause, from_seconds(pause));
}

void backend_server::update_latency(base::duration latency, const pool_statistics& pool,
                                    const pool_limits& limits, base::time_point now) {
    const double sample = seconds(latency);
    if (m_latency_seconds == 0.0 || !pool.typical_latency) {
        m_latency_seconds = sample;
    } else {
        const double previous =
            relative_latency(pool.typical_latency, limits, now) * seconds(*pool.typical_latency);
        m_latency_seconds = previous + limits.latency_weight * (sample - previous);
    }
    m_latency_at = now;
}

// Requests of one burst are often shed together; they lower the limit only once.
void backend_server::lower_shed_limit(const pool_limits& limits, base::time_point now) {
    if (m_shed_seen && now - m_shed_at < limits.shed_merge_interval) {
        return;
    }
    m_shed_limit = std::max(1.0, std::min(shed_limit(limits, now), m_in_flight + 1.0) * limits.shed_factor);
    m_shed_at = now;
    m_shed_seen = true;
}

void backend_server::record_response() {
    m_loss_score = 0.0;
    ++m_consecutive_responses;
    if (m_consecutive_responses >= responses_to_reset_ejections) {
        m_ejections = 0;
    }
    m_lifecycle.apply(server_event::recover);
}

void backend_server::record_loss(double score, double jitter, const pool_limits& limits,
                                 base::time_point now) {
    m_consecutive_responses = 0;
    m_loss_score += score;
    const bool failed_probe = state() == server_state::suspect && now >= m_ejected_until;
    const bool newly_suspect =
        m_loss_score >= limits.ejection_score && m_lifecycle.apply(server_event::eject) == transition::taken;
    if (!failed_probe && !newly_suspect) {
        return;
    }
    const auto factor = std::int64_t{1} << std::min(m_ejections, maximum_doublings);
    const base::duration unjittered = std::min(limits.longest_ejection, limits.shortest_ejection * factor);
    m_ejected_until = now + from_seconds(seconds(unjittered) * (1.0 - 0.5 * jitter));
    ++m_ejections;
}

double backend_server::warm_up_limit(base::time_point now) const {
    if (state() != server_state::warming || m_spec.warm_up <= base::duration::zero()) {
        return configured_concurrency();
    }
    const double progress = std::clamp(seconds(now - m_warm_up_start) / seconds(m_spec.warm_up), 0.0, 1.0);
    return 1.0 + (configured_concurrency() - 1.0) * progress;
}

double backend_server::shed_limit(const pool_limits& limits, base::time_point now) const {
    if (!m_shed_seen) {
        return configured_concurrency();
    }
    const double regained = std::max(0.0, seconds(now - m_shed_at)) * limits.shed_recovery_per_second;
    return std::min(static_cast<double>(configured_concurrency()), m_shed_limit + regained);
}

double backend_server::limit_factor(const pool_limits& limits, base::time_point now) const {
    if (m_limit_factor == 1.0) {
        return 1.0;
    }
    const double factor =
        1.0 - (1.0 - m_limit_factor) * decay(now - m_success_rate_at, limits.observation_half_life);
    return factor >= full_recovery_threshold ? 1.0 : factor;
}

double backend_server::current_success_rate(const pool_limits& limits, base::time_point now) const {
    if (m_success_rate == 1.0) {
        return 1.0;
    }
    const double success =
        1.0 - (1.0 - m_success_rate) * decay(now - m_success_rate_at, limits.observation_half_life);
    return success >= full_recovery_threshold ? 1.0 : success;
}

// Without new samples, the latency decays towards the pool's typical latency.
double backend_server::relative_latency(std::optional<base::duration> typical, const pool_limits& limits,
                                        base::time_point now) const {
    if (!typical || typical->count() == 0 || m_latency_seconds == 0.0) {
        return 1.0;
    }
    const double relative = m_latency_seconds / seconds(*typical);
    return 1.0 + (relative - 1.0) * decay(now - m_latency_at, limits.observation_half_life);
}

double backend_server::latency_factor(std::optional<base::duration> typical, const pool_limits& limits,
                                      base::time_point now) const {
    const double relative = relative_latency(typical, limits, now);
    if (relative > 1.0 / latency_tolerance_factor && relative < latency_tolerance_factor) {
        return 1.0;
    }
    return std::clamp(relative, minimum_latency_factor, maximum_latency_factor);
}

double backend_server::reported_excess(const pool_limits& limits, base::time_point now) const {
    if (m_reported_excess == 0) {
        return 0.0;
    }
    const double age = seconds(now - m_reported_at) / seconds(limits.report_lifetime);
    return m_reported_excess * std::clamp(1.0 - age, 0.0, 1.0);
}

} // namespace carawayway::steering
