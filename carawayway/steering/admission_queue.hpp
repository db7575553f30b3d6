// Waiting requests of one service at one entry instance, earliest deadline first.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace carawayway::steering {

struct waiting_request {
    std::uint64_t token = 0; // unique among the waiting requests
    base::time_point deadline;
    base::time_point enqueued_at;

    bool operator==(const waiting_request&) const = default;
};

enum class admission_verdict : std::uint8_t {
    queued,
    refused_full,
    refused_deadline, // cannot finish in time behind the requests already accepted
};

struct admission {
    admission_verdict verdict = admission_verdict::queued;
    base::duration retry_after{}; // zero when queued

    bool operator==(const admission&) const = default;
};

struct queue_limits {
    std::size_t capacity = 4096;
    double tail_factor = 4.0;    // high latency / typical latency, when only the latter is known
    double service_share = 0.75; // most of the remaining time that is kept for the server's work
    // The same for the first few waiting requests, 1 + sqrt(slots). In a small pool these alone keep the
    // slots busy, and refusing them would waste more capacity than their late answers do.
    double cushion_share = 0.5;
    // The time kept for the server's work is this multiple of the high latency, within the shares above.
    double reserve_factor = 1.0;
    // And at least this multiple, whatever the remaining time.
    double minimum_reserve_factor = 0.0;
    double wait_margin = 1.15; // allows for errors in the observed completion rate
    // Waiting allowed at the start of a burst. While requests wait without a break, the allowance shrinks by
    // standing_slope per second down to standing_factor typical latencies: a queue that never empties adds
    // latency and no throughput.
    base::duration burst_wait = std::chrono::seconds{2};
    double standing_slope = 0.25;
    double standing_factor = 4.0;
    base::duration shortest_retry = std::chrono::milliseconds{20};
    base::duration longest_retry = std::chrono::seconds{30};
    base::duration retry_without_capacity = std::chrono::seconds{1};

    bool operator==(const queue_limits&) const = default;
};

class admission_queue {
public:
    explicit admission_queue(queue_limits limits = {});

    // Call it when no slot is free or others already wait; a request that can be dispatched needs no queue.
    // `tail_latency` is a latency that nearly all answers stay below.
    admission offer(const waiting_request& request, std::uint32_t usable_slots,
                    std::optional<base::duration> typical_latency, base::time_point now,
                    std::optional<base::duration> tail_latency = std::nullopt);

    // The earliest deadline that can still finish in `needed`.
    std::optional<waiting_request> take(base::time_point now, base::duration needed);
    // Requests that can no longer finish in `needed`, to be answered at once.
    std::vector<waiting_request> take_expired(base::time_point now, base::duration needed);
    bool erase(std::uint64_t token);

    std::size_t size() const { return m_waiting.size(); }
    // In the order in which they will be taken.
    const std::deque<waiting_request>& waiting() const { return m_waiting; }
    std::optional<base::time_point> next_deadline() const;

    // Expected wait of a request with this deadline if it were queued now; nullopt without capacity.
    std::optional<base::duration> estimated_wait(base::time_point deadline, std::uint32_t usable_slots,
                                                 std::optional<base::duration> typical_latency,
                                                 base::time_point now) const;
    // When a caller that was refused, or whose request expired here, should come back.
    base::duration retry_after(std::uint64_t token, std::uint32_t usable_slots,
                               std::optional<base::duration> typical_latency, base::time_point now) const;

    // A dispatched request ended and its slot is free. Feeds the observed completion rate.
    void record_completion(base::time_point now);

private:
    struct service_rate {
        double seconds_per_completion = 0.0; // of the whole service
        double typical_seconds = 0.0;
        double high_seconds = 0.0;
    };

    std::optional<service_rate> rate(std::uint32_t usable_slots,
                                     std::optional<base::duration> typical_latency,
                                     std::optional<base::duration> tail_latency, base::time_point now) const;
    double wait_allowance(const service_rate& rate, base::time_point now) const;
    double wait_budget(base::time_point deadline, double service_share, const service_rate& rate,
                       base::time_point now) const;
    std::size_t rank(const waiting_request& request) const;
    bool delays_accepted(std::size_t rank, const service_rate& rate, base::time_point now) const;

    queue_limits m_limits;
    std::deque<waiting_request> m_waiting; // ordered by deadline, then by time of arrival, then by token
    std::uint32_t m_usable_slots = 0;      // as of the last offer
    double m_slot_seconds = 0.0;           // time a request occupies a slot, observed while requests waited
    std::uint32_t m_samples = 0;
    base::time_point m_standing_since;            // when the queue was last empty
    std::optional<base::time_point> m_busy_since; // last completion, if requests have waited since then
};

} // namespace carawayway::steering
