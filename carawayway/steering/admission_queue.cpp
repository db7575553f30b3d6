// Deadline order, refusal on arrival and the observed completion rate.
#include "carawayway/steering/admission_queue.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <string_view>
#include <tuple>

namespace carawayway::steering {

namespace {

// Completions over which the occupied time of a slot is averaged.
constexpr std::uint32_t most_samples = 128;
// Completions are overdue when none came for this many expected intervals.
constexpr double overdue_intervals = 8.0;
// Share of the remaining time of an accepted request that may be kept for the server's work. With a smaller
// one, resent requests with early deadlines push accepted ones back until they are dispatched too late.
constexpr double accepted_share = 1.0;
// Retry advice is spread over this share of itself, so that refused callers do not return together.
constexpr double retry_spread = 0.5;

bool earlier(const waiting_request& left, const waiting_request& right) {
    return std::tie(left.deadline, left.enqueued_at, left.token) <
           std::tie(right.deadline, right.enqueued_at, right.token);
}

base::duration from_seconds(double value) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(value));
}

// A fixed fraction in 0..1 of a token.
double fraction(std::uint64_t token) {
    constexpr std::uint64_t golden_ratio = 0x9e3779b97f4a7c15ULL;
    return static_cast<double>((token * golden_ratio) >> 11U) * 0x1p-53;
}

} // namespace

admission_queue::admission_queue(queue_limits limits) : m_limits(limits) {}

admission admission_queue::offer(const waiting_request& request, std::uint32_t usable_slots,
                                 std::optional<base::duration> typical_latency, base::time_point now,
                                 std::optional<base::duration> tail_latency) {
    m_usable_slots = usable_slots;
    const auto advice = [&] { return retry_after(request.token, usable_slots, typical_latency, now); };
    if (m_waiting.size() >= m_limits.capacity) {
        return {admission_verdict::refused_full, advice()};
    }
    const auto known = rate(usable_slots, typical_latency, tail_latency, now);
    if (!known) {
        return {admission_verdict::refused_deadline, advice()};
    }
    const std::size_t position = rank(request);
    const double wait = (static_cast<double>(position) + 1.0) * known->seconds_per_completion;
    const bool cushion = static_cast<double>(position) < 1.0 + std::sqrt(usable_slots);
    const double share = cushion ? m_limits.cushion_share : m_limits.service_share;
    const double budget =
        std::min(wait_budget(request.deadline, share, *known, now), wait_allowance(*known, now));
    if (wait * m_limits.wait_margin > budget || delays_accepted(position, *known, now)) {
        return {admission_verdict::refused_deadline, advice()};
    }
    if (m_waiting.empty()) {
        m_busy_since.reset();
        m_standing_since = now;
    }
    m_waiting.insert(m_waiting.begin() + static_cast<std::ptrdiff_t>(position), request);
    return {};
}

std::optional<waiting_request> admission_queue::take(base::time_point now, base::duration needed) {
    const auto first = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_request& request) {
        return request.deadline - now >= needed;
    });
    if (first == m_waiting.end()) {
        return std::nullopt;
    }
    const waiting_request taken = *first;
    m_waiting.erase(first);
    return taken;
}

std::vector<waiting_request> admission_queue::take_expired(base::time_point now, base::duration needed) {
    std::vector<waiting_request> expired;
    while (!m_waiting.empty() && m_waiting.front().deadline - now < needed) {
        expired.push_back(m_waiting.front());
        m_waiting.pop_front();
    }
    return expired;
}

bool admission_queue::erase(std::uint64_t token) {
    const auto found =
        std::find_if(m_waiting.begin(), m_waiting.end(),
                     [token](const waiting_request& request) { return request.token == token; });
    if (found == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(found);
    return true;
}

std::optional<base::time_point> admission_queue::next_deadline() const {
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    return m_waiting.front().deadline;
}

std::optional<base::duration> admission_queue::estimated_wait(base::time_point deadline,
                                                              std::uint32_t usable_slots,
                                                              std::optional<base::duration> typical_latency,
                                                              base::time_point now) const {
    const auto known = rate(usable_slots, typical_latency, std::nullopt, now);
    if (!known) {
        return std::nullopt;
    }
    const auto position = static_cast<double>(rank({~std::uint64_t{0}, deadline, now}));
    return from_seconds((position + 1.0) * known->seconds_per_completion);
}

// The time in which the present queue is worked off.
base::duration admission_queue::retry_after(std::uint64_t token, std::uint32_t usable_slots,
                                            std::optional<base::duration> typical_latency,
                                            base::time_point now) const {
    const auto known = rate(usable_slots, typical_latency, std::nullopt, now);
    const double drain = known ? (static_cast<double>(m_waiting.size()) + 1.0) * known->seconds_per_completion
                               : base::to_seconds(m_limits.retry_without_capacity);
    const double bounded = std::clamp(drain, base::to_seconds(m_limits.shortest_retry),
                                      base::to_seconds(m_limits.longest_retry));
    return from_seconds(bounded * (1.0 + retry_spread * fraction(token)));
}

// Only intervals in which requests waited throughout show the rate the servers are capable of.
void admission_queue::record_completion(base::time_point now) {
    if (m_waiting.empty() || m_usable_slots == 0) {
        m_busy_since.reset();
        return;
    }
    if (m_busy_since) {
        const double occupied = base::to_seconds(now - *m_busy_since) * m_usable_slots;
        m_samples = std::min(m_samples + 1, most_samples);
        m_slot_seconds += (occupied - m_slot_seconds) / m_samples;
    }
    m_busy_since = now;
}

// Without observations the rate follows from slots and latency. Nothing is known without either; then every
// request is accepted.
std::optional<admission_queue::service_rate>
admission_queue::rate(std::uint32_t usable_slots, std::optional<base::duration> typical_latency,
                      std::optional<base::duration> tail_latency, base::time_point now) const {
    if (usable_slots == 0) {
        return std::nullopt;
    }
    service_rate result;
    result.typical_seconds = typical_latency ? base::to_seconds(*typical_latency) : m_slot_seconds;
    result.high_seconds = tail_latency ? std::max(base::to_seconds(*tail_latency), result.typical_seconds)
                                       : m_limits.tail_factor * result.typical_seconds;
    const double weight = static_cast<double>(m_samples) / most_samples;
    const double slot_seconds = weight * m_slot_seconds + (1.0 - weight) * result.typical_seconds;
    result.seconds_per_completion = slot_seconds / usable_slots;
    if (m_busy_since) {
        const double silence = base::to_seconds(now - *m_busy_since);
        result.seconds_per_completion = std::max(result.seconds_per_completion, silence / overdue_intervals);
    }
    return result;
}

// The longest wait that is worth queueing for at present, whatever the deadline.
double admission_queue::wait_allowance(const service_rate& rate, base::time_point now) const {
    const double standing = m_waiting.empty() ? 0.0 : base::to_seconds(now - m_standing_since);
    const double shrunk = base::to_seconds(m_limits.burst_wait) - m_limits.standing_slope * standing;
    return std::max(shrunk, m_limits.standing_factor * rate.typical_seconds);
}

// How long a request may wait and still leave the server enough time. Requests with little time left keep a
// share of it for waiting, since refusing all of them would waste capacity. Rises with the deadline.
double admission_queue::wait_budget(base::time_point deadline, double service_share, const service_rate& rate,
                                    base::time_point now) const {
    const double remaining = base::to_seconds(deadline - now);
    const double service =
        std::max({rate.typical_seconds, m_limits.minimum_reserve_factor * rate.high_seconds,
                  std::min(m_limits.reserve_factor * rate.high_seconds, service_share * remaining)});
    return remaining - service;
}

// Number of waiting requests that go first.
std::size_t admission_queue::rank(const waiting_request& request) const {
    const auto position = std::lower_bound(m_waiting.begin(), m_waiting.end(), request, earlier);
    return static_cast<std::size_t>(position - m_waiting.begin());
}

// Whether inserting a request at `rank` makes an accepted one behind it late. Since budgets rise with the
// deadline, a request whose budget allows position p vouches for all requests up to p.
bool admission_queue::delays_accepted(std::size_t rank, const service_rate& rate,
                                      base::time_point now) const {
    std::size_t position = rank;
    while (position < m_waiting.size()) {
        const double budget = wait_budget(m_waiting[position].deadline, accepted_share, rate, now);
        const double allowed = budget / std::max(rate.seconds_per_completion, 1e-12);
        // After the insertion this request waits for position + 2 completions.
        if (allowed < static_cast<double>(position) + 2.0) {
            return true;
        }
        position = static_cast<std::size_t>(std::min(allowed, 1e9)) - 1;
    }
    return false;
}

} // namespace carawayway::steering
