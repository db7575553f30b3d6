// Learned state of one backend server: warm-up, shed limit, success share, latency and losses.
#include "carawayway/steering/backend_server.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace carawayway::steering {

namespace {

constexpr double loss_points = 2.0;
// A timeout counts one point when the pool's share of timeouts is at most this.
constexpr double rare_timeout_share = 0.01;
constexpr std::uint32_t contacts_to_forget_ejections = 20;
constexpr std::uint32_t largest_doubling = 16;
// Bounds of a latency relative to the pool's typical one: an outlier moves a score by at most this much.
constexpr double least_latency_factor = 0.25;
constexpr double greatest_latency_factor = 16.0;
// A success share is never taken as less than this, so that servers that all fail still compare as equal.
constexpr double least_success = 0.01;
// A share that has recovered to this counts as whole. Faded observations would otherwise rank a server last
// for ever when all others are idle, and it would get no request to disprove them.
constexpr double whole_share = 0.95;
// Latencies within this factor of the typical one rank alike: averages of few samples vary that much.
constexpr double equal_latency_factor = 1.5;
// Pauses are computed from this latency while none is known.
constexpr base::duration assumed_latency = std::chrono::milliseconds{20};
// How often the share of a server is looked at again while it is reduced.
constexpr base::duration share_review = std::chrono::seconds{1};

double seconds(base::duration value) {
    return base::to_seconds(value);
}

base::duration from_seconds(double value) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(value));
}

// The evidence of a timeout against one server is the logarithm of its improbability: where short deadlines
// make timeouts common on all servers, several in a row are no reason to eject one.
double timeout_points(double timeout_share) {
    const double share = std::clamp(timeout_share, rare_timeout_share, 1.0);
    return std::log(share) / std::log(rare_timeout_share);
}

// Remaining weight of an observation of this age.
double decay(base::duration age, base::duration half_life) {
    if (age <= base::duration::zero()) {
        return 1.0;
    }
    return std::exp2(-seconds(age) / seconds(half_life));
}

} // namespace

backend_server::backend_server(server_spec spec, base::time_point now)
    : m_spec(std::move(spec)), m_ramp_start(now), m_drained_at(now), m_shed_limit(m_spec.slots),
      m_shed_at(now), m_success_at(now), m_paused_until(now), m_latency_at(now), m_ejected_until(now),
      m_reported_at(now) {
    open(now, base::duration::zero());
}

void backend_server::open(base::time_point now, base::duration warmth) {
    m_ramp_start = now - warmth;
    const bool cold = warmth < m_spec.warm_up;
    m_lifecycle.apply(cold ? server_event::open_cold : server_event::open_warm);
}

void backend_server::update(const server_spec& spec, base::time_point now) {
    m_spec = spec;
    if (m_lifecycle.apply(server_event::rediscover) == transition::taken) {
        open(now, base::duration::zero());
    }
}

void backend_server::drain(base::time_point now) {
    const base::duration warmth = now - m_ramp_start;
    if (state() == server_state::draining || m_lifecycle.apply(server_event::drain) == transition::ignored) {
        return;
    }
    m_drained_at = now;
    m_drained_warmth = std::clamp(warmth, base::duration::zero(), m_spec.warm_up);
}

// Caches cool while a server is drained: the warm-up resumes as far back as the drain lasted.
void backend_server::undrain(base::time_point now) {
    if (state() != server_state::draining) {
        return;
    }
    open(now, std::max(base::duration::zero(), m_drained_warmth - (now - m_drained_at)));
}

void backend_server::remove() {
    m_lifecycle.apply(server_event::remove);
}

void backend_server::restart_warm_up(base::time_point now) {
    m_points = 0.0;
    m_success = 1.0;
    m_share = 1.0;
    m_shed_seen = false;
    m_latency_seconds = 0.0;
    m_paused_until = now;
    m_ejected_until = now;
    if (state() == server_state::draining) {
        m_drained_warmth = base::duration::zero();
        return;
    }
    m_ramp_start = now;
    m_lifecycle.apply(server_event::turn_cold);
    advance(now);
}

void backend_server::advance(base::time_point now) {
    if (state() == server_state::warming && now - m_ramp_start >= m_spec.warm_up) {
        m_lifecycle.apply(server_event::warmed_up);
    }
}

void backend_server::dispatched(base::time_point now) {
    assert(!m_isolated);
    assert(place(now) != placement::closed);
    if (place(now) == placement::probe) {
        ++m_probes;
    }
    ++m_in_flight;
    assert(m_in_flight <= ceiling());
}

void backend_server::completed(completion_kind kind, base::duration latency, const pool_view& pool,
                               const pool_limits& limits, base::time_point now) {
    assert(m_in_flight > 0);
    --m_in_flight;
    m_isolated = false;
    m_probes = m_probes > 0 ? m_probes - 1 : 0;
    switch (kind) {
    case completion_kind::answered:
        learn_contact();
        learn_latency(latency, pool, limits, now);
        learn_success(1.0, pool, limits, now);
        break;
    case completion_kind::failed:
        learn_contact();
        learn_success(0.0, pool, limits, now);
        break;
    case completion_kind::shed:
        learn_contact();
        learn_shed(limits, now);
        learn_success(0.0, pool, limits, now);
        break;
    case completion_kind::lost:
    case completion_kind::not_sent:
        learn_success(0.0, pool, limits, now);
        learn_loss(loss_points, pool.jitter, limits, now);
        break;
    case completion_kind::timed_out:
        learn_latency(latency, pool, limits, now);
        learn_loss(timeout_points(pool.timeout_share), pool.jitter, limits, now);
        break;
    case completion_kind::cancelled:
        break;
    }
}

void backend_server::record_load_report(std::uint32_t in_flight, base::duration age, base::time_point now) {
    // Later reports win; a delayed older one is dropped.
    if (now - age < m_reported_at) {
        return;
    }
    m_reported_at = now - age;
    m_reported_excess = in_flight > m_in_flight ? std::min(in_flight - m_in_flight, ceiling()) : 0;
}

std::uint32_t backend_server::ceiling() const {
    return m_spec.connections == 0 ? m_spec.slots : std::min(m_spec.slots, m_spec.connections);
}

std::uint32_t backend_server::limit(const pool_limits& limits, base::time_point now) const {
    const std::uint32_t most = ceiling();
    if (most == 0) {
        return 0;
    }
    const double usable = std::min({static_cast<double>(most), ramp(now), shed_limit(limits, now)});
    // The small addend keeps a step that is due exactly now from being lost to rounding.
    const auto whole = static_cast<std::uint32_t>(usable * error_share(limits, now) + 1e-6);
    return std::clamp(whole, 1U, most);
}

placement backend_server::place(base::time_point now) const {
    if (m_isolated) {
        return placement::closed;
    }
    switch (state()) {
    case server_state::starting:
    case server_state::draining:
    case server_state::gone:
        return placement::closed;
    case server_state::suspect:
        return now >= m_ejected_until && m_probes == 0 ? placement::probe : placement::held;
    case server_state::warming:
    case server_state::active:
        break;
    }
    return now < m_paused_until ? placement::held : placement::open;
}

bool backend_server::healthy(base::time_point now) const {
    return compared() && ceiling() > 0 && now >= m_paused_until;
}

bool backend_server::compared() const {
    return state() == server_state::warming || state() == server_state::active;
}

double backend_server::score(std::uint32_t limit, std::optional<base::duration> typical,
                             const pool_limits& limits, base::time_point now) const {
    const double load = (m_in_flight + 1.0 + reported_excess(limits, now)) / std::max(1U, limit);
    const double success = current_success(limits, now);
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
        const double slope = (ceiling() - 1.0) / seconds(m_spec.warm_up);
        const double step = std::floor(ramp(now) + 1e-6);
        const base::time_point end = m_ramp_start + m_spec.warm_up;
        consider(slope > 0.0 ? std::min(end, m_ramp_start + from_seconds(step / slope)) : end);
    }
    if (state() == server_state::suspect && m_ejected_until > now) {
        consider(m_ejected_until);
    }
    if (m_paused_until > now) {
        consider(m_paused_until);
    }
    if (shed_limit(limits, now) < ceiling()) {
        const double missing = std::floor(shed_limit(limits, now) + 1e-6) + 1.0 - m_shed_limit;
        consider(m_shed_at + from_seconds(missing / limits.recovery_per_second));
    }
    if (error_share(limits, now) < 1.0) {
        consider(now + share_review);
    }
    return next;
}

server_status backend_server::status(const pool_limits& limits, base::time_point now) const {
    const bool usable = place(now) != placement::closed;
    return {m_spec.name,
            state(),
            m_spec.slots,
            usable ? limit(limits, now) : 0,
            m_in_flight,
            from_seconds(m_latency_seconds),
            current_success(limits, now)};
}

// A share far below the pool's mean also pauses the server: a fast error frees its slot at once, and without
// the pause it would draw the whole queue. Errors that all servers give alike reduce nobody's share.
void backend_server::learn_success(double outcome, const pool_view& pool, const pool_limits& limits,
                                   base::time_point now) {
    const double before = current_success(limits, now);
    m_success = std::max(least_success, before + limits.success_weight * (outcome - before));
    m_success_at = now;
    const double mean = (pool.peers_success + m_success) / (pool.peers + 1);
    const double relative = m_success / mean;
    m_share = relative < limits.fair_success ? relative : 1.0;
    if (m_share == 1.0 || outcome > 0.0) {
        return;
    }
    const double pause = seconds(pool.typical_latency.value_or(assumed_latency)) * (1.0 / relative - 1.0);
    m_paused_until = now + std::min(limits.longest_pause, from_seconds(pause));
}

void backend_server::learn_latency(base::duration latency, const pool_view& pool, const pool_limits& limits,
                                   base::time_point now) {
    const double sample = seconds(latency);
    if (m_latency_seconds == 0.0 || !pool.typical_latency) {
        m_latency_seconds = sample;
    } else {
        const double before =
            relative_latency(pool.typical_latency, limits, now) * seconds(*pool.typical_latency);
        m_latency_seconds = before + limits.latency_weight * (sample - before);
    }
    m_latency_at = now;
}

// The requests of one burst are often shed together; they lower the limit once.
void backend_server::learn_shed(const pool_limits& limits, base::time_point now) {
    if (m_shed_seen && now - m_shed_at < limits.shed_round) {
        return;
    }
    m_shed_limit = std::max(1.0, std::min(shed_limit(limits, now), m_in_flight + 1.0) * limits.shed_factor);
    m_shed_at = now;
    m_shed_seen = true;
}

void backend_server::learn_contact() {
    m_points = 0.0;
    ++m_contact_streak;
    if (m_contact_streak >= contacts_to_forget_ejections) {
        m_ejections = 0;
    }
    m_lifecycle.apply(server_event::recover);
}

void backend_server::learn_loss(double points, double jitter, const pool_limits& limits,
                                base::time_point now) {
    m_contact_streak = 0;
    m_points += points;
    const bool failed_probe = state() == server_state::suspect && now >= m_ejected_until;
    const bool newly_suspect =
        m_points >= limits.suspect_points && m_lifecycle.apply(server_event::lose) == transition::taken;
    if (!failed_probe && !newly_suspect) {
        return;
    }
    const auto doubling = std::int64_t{1} << std::min(m_ejections, largest_doubling);
    const base::duration full = std::min(limits.longest_ejection, limits.first_ejection * doubling);
    m_ejected_until = now + from_seconds(seconds(full) * (1.0 - 0.5 * jitter));
    ++m_ejections;
}

double backend_server::ramp(base::time_point now) const {
    if (state() != server_state::warming || m_spec.warm_up <= base::duration::zero()) {
        return ceiling();
    }
    const double progress = std::clamp(seconds(now - m_ramp_start) / seconds(m_spec.warm_up), 0.0, 1.0);
    return 1.0 + (ceiling() - 1.0) * progress;
}

double backend_server::shed_limit(const pool_limits& limits, base::time_point now) const {
    if (!m_shed_seen) {
        return ceiling();
    }
    const double regained = std::max(0.0, seconds(now - m_shed_at)) * limits.recovery_per_second;
    return std::min(static_cast<double>(ceiling()), m_shed_limit + regained);
}

double backend_server::error_share(const pool_limits& limits, base::time_point now) const {
    if (m_share == 1.0) {
        return 1.0;
    }
    const double share = 1.0 - (1.0 - m_share) * decay(now - m_success_at, limits.memory);
    return share >= whole_share ? 1.0 : share;
}

double backend_server::current_success(const pool_limits& limits, base::time_point now) const {
    if (m_success == 1.0) {
        return 1.0;
    }
    const double success = 1.0 - (1.0 - m_success) * decay(now - m_success_at, limits.memory);
    return success >= whole_share ? 1.0 : success;
}

// Unrefreshed latencies fade towards the pool's typical one.
double backend_server::relative_latency(std::optional<base::duration> typical, const pool_limits& limits,
                                        base::time_point now) const {
    if (!typical || typical->count() == 0 || m_latency_seconds == 0.0) {
        return 1.0;
    }
    const double relative = m_latency_seconds / seconds(*typical);
    return 1.0 + (relative - 1.0) * decay(now - m_latency_at, limits.memory);
}

double backend_server::latency_factor(std::optional<base::duration> typical, const pool_limits& limits,
                                      base::time_point now) const {
    const double relative = relative_latency(typical, limits, now);
    if (relative > 1.0 / equal_latency_factor && relative < equal_latency_factor) {
        return 1.0;
    }
    return std::clamp(relative, least_latency_factor, greatest_latency_factor);
}

double backend_server::reported_excess(const pool_limits& limits, base::time_point now) const {
    if (m_reported_excess == 0) {
        return 0.0;
    }
    const double age = seconds(now - m_reported_at) / seconds(limits.report_lifetime);
    return m_reported_excess * std::clamp(1.0 - age, 0.0, 1.0);
}

} // namespace carawayway::steering
