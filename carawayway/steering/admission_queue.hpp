// Queue of the waiting requests of one service at one entry instance, earliest deadline first, with admission
// control.
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
    refused_deadline, // the expected wait is too long for it or for an accepted request
};

struct admission {
    admission_verdict verdict = admission_verdict::queued;
    base::duration retry_after{}; // zero when queued

    bool operator==(const admission&) const = default;
};

struct queue_limits {
    std::size_t capacity = 4096;
    double assumed_tail_factor = 4.0;    // tail latency / typical latency, if only the latter is known
    double maximum_reserve_share = 0.75; // of the remaining time, for the server's work
    // The same for the first 1 + sqrt(slots) waiting requests. In a small pool these alone keep the slots
    // busy, and refusing them wastes more capacity than answering some of them too late.
    double maximum_reserve_share_in_front = 0.5;
    // Time reserved for the server's work: this multiple of the tail latency, limited by the shares above and
    // never less than the typical latency.
    double reserve_factor = 1.0;
    // Lower bound of the reserved time as a multiple of the tail latency, which takes precedence over the
    // shares.
    double minimum_reserve_factor = 0.0;
    double wait_margin = 1.15; // factor on the expected wait, for errors in the observed completion rate
    // Longest wait accepted at the start of a burst. While the queue does not become empty, this allowance
    // shrinks by `burst_wait_decay` seconds per second, down to `standing_wait_factor` times the typical
    // latency: a standing queue adds latency and no throughput.
    base::duration burst_wait = std::chrono::seconds{2};
    double burst_wait_decay = 0.25;
    double standing_wait_factor = 4.0;
    base::duration shortest_retry_after = std::chrono::milliseconds{20};
    base::duration longest_retry_after = std::chrono::seconds{30};
    base::duration retry_after_without_capacity = std::chrono::seconds{1};

    bool operator==(const queue_limits&) const = default;
};

class admission_queue {
public:
    explicit admission_queue(queue_limits limits = {});

    // Queues or refuses a request. To be called only when no slot is free or other requests wait already.
    // `tail_latency` is a high percentile of the latency; when absent, it is derived from the typical
    // latency.
    admission offer(const waiting_request& request, std::uint32_t usable_slots,
                    std::optional<base::duration> typical_latency, base::time_point now,
                    std::optional<base::duration> tail_latency = std::nullopt);

    // Removes the request with the earliest deadline among those that have at least `needed` left.
    std::optional<waiting_request> take(base::time_point now, base::duration needed);
    // Removes the requests that have less than `needed` left; the caller answers them with an error.
    std::vector<waiting_request> take_expired(base::time_point now, base::duration needed);
    bool erase(std::uint64_t token);

    std::size_t size() const { return m_waiting.size(); }
    // In the order in which they are taken.
    const std::deque<waiting_request>& waiting() const { return m_waiting; }
    std::optional<base::time_point> next_deadline() const;

    // Expected wait of a request with this deadline if it were queued now; none when there are no usable
    // slots.
    std::optional<base::duration> estimated_wait(base::time_point deadline, std::uint32_t usable_slots,
                                                 std::optional<base::duration> typical_latency,
                                                 base::time_point now) const;
    // How long a caller should wait before it retries a request that was refused or that expired in the
    // queue.
    base::duration retry_after(std::uint64_t token, std::uint32_t usable_slots,
                               std::optional<base::duration> typical_latency, base::time_point now) const;

    // Updates the observed completion rate when a dispatched request has ended and its slot is free.
    void record_completion(base::time_point now);

private:
    struct service_estimate {
        double seconds_per_completion = 0.0; // over all slots of the service
        double typical_seconds = 0.0;
        double tail_seconds = 0.0;
    };

    std::optional<service_estimate> estimate_service(std::uint32_t usable_slots,
                                                     std::optional<base::duration> typical_latency,
                                                     std::optional<base::duration> tail_latency,
                                                     base::time_point now) const;
    double wait_allowance(const service_estimate& estimate, base::time_point now) const;
    double wait_budget(base::time_point deadline, double maximum_reserve_share,
                       const service_estimate& estimate, base::time_point now) const;
    std::size_t insert_position(const waiting_request& request) const;
    bool would_delay_accepted(std::size_t inserted_at, const service_estimate& estimate,
                              base::time_point now) const;

    queue_limits m_limits;
    std::deque<waiting_request> m_waiting; // ordered by deadline, then arrival, then token
    std::uint32_t m_usable_slots = 0;      // as of the last offer
    double m_slot_seconds = 0.0;           // average slot occupancy time, measured while requests wait
    std::uint32_t m_samples = 0;
    base::time_point m_standing_since;            // when the queue was last empty
    std::optional<base::time_point> m_busy_since; // last completion, if requests have waited ever since
};

} // namespace carawayway::steering
