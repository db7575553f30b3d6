// Deadline ordering, admission on arrival and the estimate of the completion rate.
#include "carawayway/steering/admission_queue.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <string_view>
#include <tuple>

namespace carawayway::steering {

namespace {

// Number of completions over which the slot occupancy time is averaged.
constexpr std::uint32_t maximum_samples = 128;
// After this many expected intervals without a completion, the estimated rate is lowered.
constexpr double overdue_intervals = 8.0;
// Share of the remaining time of an accepted request that may be reserved for the server's work. With a
// smaller share, resent requests with early deadlines push accepted requests back until they are dispatched
// too late.
constexpr double accepted_reserve_share = 1.0;
// Retry advice is lengthened by up to this share, depending on the token, so that refused callers do not all
// return at the same time.
constexpr double retry_spread = 0.5;

bool is_served_before(const waiting_request& left, const waiting_request& right) {
    return std::tie(left.deadline, left.enqueued_at, left.token) <
           std::tie(right.deadline, right.enqueued_at, right.token);
}

base::duration from_seconds(double value) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(value));
}

// Hashes a token to a number in [0, 1).
double unit_hash(std::uint64_t token) {
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
    const auto estimate = estimate_service(usable_slots, typical_latency, tail_latency, now);
    if (!estimate) {
        return {admission_verdict::refused_deadline, advice()};
    }
    const std::size_t position = insert_position(request);
    const double wait = (static_cast<double>(position) + 1.0) * estimate->seconds_per_completion;
    const bool in_front = static_cast<double>(position) < 1.0 + std::sqrt(usable_slots);
    const double reserve_share =
        in_front ? m_limits.maximum_reserve_share_in_front : m_limits.maximum_reserve_share;
    const double budget = std::min(wait_budget(request.deadline, reserve_share, *estimate, now),
                                   wait_allowance(*estimate, now));
    if (wait * m_limits.wait_margin > budget || would_delay_accepted(position, *estimate, now)) {
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
    const auto estimate = estimate_service(usable_slots, typical_latency, std::nullopt, now);
    if (!estimate) {
        return std::nullopt;
    }
    const auto position = static_cast<double>(insert_position({~std::uint64_t{0}, deadline, now}));
    return from_seconds((position + 1.0) * estimate->seconds_per_completion);
}

// The advice is the expected time until the requests that wait now are served.
base::duration admission_queue::retry_after(std::uint64_t token, std::uint32_t usable_slots,
                                            std::optional<base::duration> typical_latency,
                                            base::time_point now) const {
    const auto estimate = estimate_service(usable_slots, typical_latency, std::nullopt, now);
    const double queue_seconds =
        estimate ? (static_cast<double>(m_waiting.size()) + 1.0) * estimate->seconds_per_completion
                 : base::to_seconds(m_limits.retry_after_without_capacity);
    const double bounded = std::clamp(queue_seconds, base::to_seconds(m_limits.shortest_retry_after),
                                      base::to_seconds(m_limits.longest_retry_after));
    return from_seconds(bounded * (1.0 + retry_spread * unit_hash(token)));
}

// Measures only intervals in which requests waited throughout: otherwise the arrivals limit the rate, not the
// servers.
void admission_queue::record_completion(base::time_point now) {
    if (m_waiting.empty() || m_usable_slots == 0) {
        m_busy_since.reset();
        return;
    }
    if (m_busy_since) {
        const double occupied = base::to_seconds(now - *m_busy_since) * m_usable_slots;
        m_samples = std::min(m_samples + 1, maximum_samples);
        m_slot_seconds += (occupied - m_slot_seconds) / m_samples;
    }
    m_busy_since = now;
}

// Without observations, the rate follows from the slots and the typical latency. With neither, the expected
// wait is zero and every request is accepted.
std::optional<admission_queue::service_estimate>
admission_queue::estimate_service(std::uint32_t usable_slots, std::optional<base::duration> typical_latency,
                                  std::optional<base::duration> tail_latency, base::time_point now) const {
    if (usable_slots == 0) {
        return std::nullopt;
    }
    service_estimate result;
    result.typical_seconds = typical_latency ? base::to_seconds(*typical_latency) : m_slot_seconds;
    result.tail_seconds = tail_latency ? std::max(base::to_seconds(*tail_latency), result.typical_seconds)
                                       : m_limits.assumed_tail_factor * result.typical_seconds;
    const double weight = static_cast<double>(m_samples) / maximum_samples;
    const double slot_seconds = weight * m_slot_seconds + (1.0 - weight) * result.typical_seconds;
    result.seconds_per_completion = slot_seconds / usable_slots;
    if (m_busy_since) {
        const double seconds_without_completion = base::to_seconds(now - *m_busy_since);
        result.seconds_per_completion =
            std::max(result.seconds_per_completion, seconds_without_completion / overdue_intervals);
    }
    return result;
}

// The longest wait that is accepted now, whatever the deadline.
double admission_queue::wait_allowance(const service_estimate& estimate, base::time_point now) const {
    const double standing_seconds = m_waiting.empty() ? 0.0 : base::to_seconds(now - m_standing_since);
    const double allowance =
        base::to_seconds(m_limits.burst_wait) - m_limits.burst_wait_decay * standing_seconds;
    return std::max(allowance, m_limits.standing_wait_factor * estimate.typical_seconds);
}

// How long a request may wait so that the server still has enough time for it. At most
// `maximum_reserve_share` of the remaining time is reserved for the server's work, so that requests with
// little time left are not all refused, which would waste capacity. The result increases with the deadline.
double admission_queue::wait_budget(base::time_point deadline, double maximum_reserve_share,
                                    const service_estimate& estimate, base::time_point now) const {
    const double remaining = base::to_seconds(deadline - now);
    const double reserved = std::max(
        {estimate.typical_seconds, m_limits.minimum_reserve_factor * estimate.tail_seconds,
         std::min(m_limits.reserve_factor * estimate.tail_seconds, maximum_reserve_share * remaining)});
    return remaining - reserved;
}

// Number of waiting requests that are served before this one.
std::size_t admission_queue::insert_position(const waiting_request& request) const {
    const auto position = std::lower_bound(m_waiting.begin(), m_waiting.end(), request, is_served_before);
    return static_cast<std::size_t>(position - m_waiting.begin());
}

// Whether inserting a request at `inserted_at` makes an accepted request behind it late. Wait budgets
// increase with the deadline: if the budget of a request allows position p, so do the budgets of all requests
// between it and p, and the check continues there.
bool admission_queue::would_delay_accepted(std::size_t inserted_at, const service_estimate& estimate,
                                           base::time_point now) const {
    std::size_t position = inserted_at;
    while (position < m_waiting.size()) {
        const double budget =
            wait_budget(m_waiting[position].deadline, accepted_reserve_share, estimate, now);
        const double allowed = budget / std::max(estimate.seconds_per_completion, 1e-12);
        // After the insertion this request waits for position + 2 completions.
        if (allowed < static_cast<double>(position) + 2.0) {
            return true;
        }
        position = static_cast<std::size_t>(std::min(allowed, 1e9)) - 1;
    }
    return false;
}

} // namespace carawayway::steering
