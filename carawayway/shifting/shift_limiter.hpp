// Enforces the operator's cap on how fast traffic shifts from its home region to other regions, for the part
// of the traffic that reaches this entry instance.
//
// Guarantee for one service and home region, with window length W, cap c and reference traffic B (requests
// per window, see below): whenever a request moves, the number of moved requests in the window that ends at
// that time is at most max(1, c*B) above the number in some earlier window that ended before this one began,
// at most W earlier. So the moved share rises by at most c per window, wherever the window begins. Fixed
// windows do not guarantee this: they admit twice the allowance around their boundary. Moved requests are
// counted in fine buckets; rounding to buckets makes the limiter refuse earlier, never later.
//
// The reference traffic is R*W/N, where R is the last known request rate of the home region over all entry
// instances and N the number of entry instances that may receive its traffic. Without a known rate, it is the
// number of first-time arrivals at this entry instance in the last W. Added up over all entry instances, both
// give the traffic of the region. An entry instance without a known rate and without history moves nothing at
// first; the first move is admitted after 1/c arrivals.
//
// For k = 1, 2, ..., all entry instances together move at most k*c*R*W requests in any window that ends less
// than k*W after the first move. Each one compares only with its own earlier windows: when callers change
// from one entry instance to another, their moves count as new there.
//
// An allowance below one request accumulates up to one request, so that traffic with a low rate moves, too.
// Allowances above one request are rounded down.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/config/policy.hpp"
#include "carawayway/shifting/sliding_count.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::shifting {

struct shift_key {
    std::string service;
    std::string home_region;

    bool operator==(const shift_key&) const = default;
};

enum class arrival_kind : std::uint8_t { first_time, resend };

struct shift_status {
    std::string service;
    std::string home_region;
    double moved_share = 0;       // of the reference traffic, in the window that ends now
    double allowed_share = 0;     // of the reference traffic, 0..1
    double cap = 0;               // share that may additionally move in one window
    base::duration window_left{}; // until the oldest move leaves the window; zero when nothing moved

    bool operator==(const shift_status&) const = default;
};

// The times passed to the functions must not decrease.
class shift_limiter {
public:
    // Sets the cap of a service. Before the first call, no request of the service may move. Earlier moves
    // still count after a change.
    void configure(const std::string& service, const config::shift_cap& cap, std::uint32_t receiving_entries,
                   base::time_point now);

    // Sets the last known rate of first-time requests from the region over all entry instances. A rate that
    // is not positive means that none is known.
    void set_reference_rate(const shift_key& key, double requests_per_second, base::time_point now);

    // To be called for every request of the home region that reaches this entry instance, moved or not.
    // Resends do not count for the reference traffic.
    void record_arrival(const shift_key& key, arrival_kind kind, base::time_point now);

    // Whether one more request may move now. If true, it counts as moved, whatever becomes of it.
    bool try_move(const shift_key& key, base::time_point now);

    // Time until `try_move` can succeed if nothing else moves; the length of the window if that is not known
    // or the cap is 0.
    base::duration retry_after(const shift_key& key, base::time_point now) const;

    std::vector<shift_status> status(base::time_point now) const;

private:
    // Accumulated allowance below one request.
    struct credit {
        double requests = 0; // 0..1
        base::time_point filled_at;
    };

    struct region_traffic {
        region_traffic(base::duration bucket_length, base::time_point now);

        sliding_count moved;
        sliding_count arrived;                // first-time arrivals
        std::optional<double> reference_rate; // requests per second over all entry instances
        credit share_credit;
        sliding_count::bucket baseline_bucket; // bucket for which `baseline` was computed
        std::uint64_t baseline = 0;            // see baseline_at()
    };

    struct service_traffic {
        service_traffic(const config::shift_cap& initial_cap, std::uint32_t entries, base::time_point now);

        base::duration bucket_length() const;

        config::shift_cap cap;
        std::uint32_t receiving_entries;
        sliding_count moved; // from all home regions, for the absolute cap
        credit absolute_credit;
        std::map<std::string, region_traffic, std::less<>> regions;
    };

    // What one kind of cap (share or absolute) admits at one time.
    struct allowance {
        double per_window = 0; // requests that may additionally move; below one, the credit counts instead
        double fill_rate = 0;  // of the credit, requests per second
        double credit = 0;     // requests
        std::uint64_t baseline = 0; // requests that moved in an earlier window and may continue to move

        std::uint64_t increment() const;
        bool admits(std::uint64_t moved) const;
        bool uses_credit(std::uint64_t moved) const;
        allowance after(base::duration wait) const;
    };

    static std::uint64_t baseline_at(const sliding_count& moved, sliding_count::bucket index,
                                     sliding_count::bucket stride);
    static double reference_requests(const service_traffic& service, const region_traffic& region,
                                     base::time_point now);
    static allowance share_allowance(const service_traffic& service, const region_traffic& region,
                                     base::time_point now);
    static allowance absolute_allowance(const service_traffic& service, base::time_point now);
    static void fill_credits(service_traffic& service, base::time_point now);
    template <class Baseline>
    static std::optional<base::duration> time_until_admitted(const sliding_count& moved,
                                                             const allowance& start, Baseline baseline,
                                                             base::time_point now);
    static shift_status status_of(const shift_key& key, const service_traffic& service,
                                  const region_traffic& region, base::time_point now);
    static region_traffic& region_of(service_traffic& service, const std::string& home_region,
                                     base::time_point now);
    service_traffic* find_service(const std::string& service);

    std::map<std::string, service_traffic, std::less<>> m_services;
};

} // namespace carawayway::shifting
