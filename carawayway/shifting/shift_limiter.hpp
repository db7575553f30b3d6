// Keeps the operator's cap on traffic that newly moves between regions, for the part of the traffic that this
// entry instance sees.
//
// Guarantee for one service and home region, with window W, cap c and the base B (requests of one window, see
// below): whenever a request moves, the number of moved requests in the interval of length W that ends there
// is at most max(1, c*B) above the number in some interval of the same length that ended before the first one
// began, at most W earlier. So the moved share rises by at most c per window, at any position of the window.
// Fixed windows do not give this: they admit twice the allowance around their boundary. The count is kept in
// fine buckets, and rounding errors of the buckets make the limiter refuse earlier, never later.
//
// The base is R*W/N for the last known rate R of the home region over all entries and N entries that may
// receive its traffic. Without a known rate it is the number of first-time arrivals at this entry in the last
// W. Both add up to the region's traffic over all entries. An entry without a rate and without history moves
// nothing at first: the first move follows after 1/c arrivals.
//
// All entries together move at most k*c*R*W requests in any window that ends before k*W after the first move.
// Each entry compares only with its own earlier windows: when the callers of one entry change to another,
// their moves are new there.
//
// An allowance below one request accumulates up to one request, so that small rates move too. Allowances
// above one request are rounded down.
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
    double moved_share = 0;       // of the base, in the window that ends now
    double allowed_share = 0;     // of the base, 0..1
    double cap = 0;               // share that may newly move in one window
    base::duration window_left{}; // until the oldest move leaves the window; zero when nothing moved

    bool operator==(const shift_status&) const = default;
};

// Times passed to the functions may not go back.
class shift_limiter {
public:
    // A service that was never configured moves nothing. Moves made so far still count after a change.
    void configure(const std::string& service, const config::shift_cap& cap, std::uint32_t receiving_entries,
                   base::time_point now);

    // Last known rate of first-time requests from the region over all entries. A rate that is not positive
    // means that none is known.
    void set_reference_rate(const shift_key& key, double requests_per_second, base::time_point now);

    // Every request of the home region that reaches this entry, moved or not. Resends do not raise the base.
    void record_arrival(const shift_key& key, arrival_kind kind, base::time_point now);

    // Consumes allowance when true; the request must then be counted as moved whatever becomes of it.
    bool try_move(const shift_key& key, base::time_point now);

    // Time until `try_move` can succeed if nothing else moves; the window's length when that cannot be told
    // or the cap is 0.
    base::duration retry_after(const shift_key& key, base::time_point now) const;

    std::vector<shift_status> status(base::time_point now) const;

private:
    // Allowance below one request, saved up.
    struct credit {
        double requests = 0; // 0..1
        base::time_point filled_at;
    };

    struct region_traffic {
        region_traffic(base::duration bucket_length, base::time_point now);

        sliding_count moved;
        sliding_count arrived;                // first-time arrivals
        std::optional<double> reference_rate; // requests per second over all entries
        credit fraction;
        sliding_count::bucket level_bucket; // bucket for which `level` holds
        std::uint64_t level = 0;            // see level_at()
    };

    struct service_traffic {
        service_traffic(const config::shift_cap& initial_cap, std::uint32_t entries, base::time_point now);

        base::duration bucket_length() const;

        config::shift_cap cap;
        std::uint32_t receiving_entries;
        sliding_count moved; // from all home regions, for the absolute cap
        credit absolute_fraction;
        std::map<std::string, region_traffic, std::less<>> regions;
    };

    // What one kind of cap admits at one time.
    struct allowance {
        double per_window = 0;   // requests that may newly move; below one it fills the credit
        double fill_rate = 0;    // of the credit, requests per second
        double credit = 0;       // requests
        std::uint64_t level = 0; // moved requests of earlier windows that may go on

        std::uint64_t step() const;
        bool admits(std::uint64_t moved) const;
        bool takes_credit(std::uint64_t moved) const;
        allowance after(base::duration wait) const;
    };

    static std::uint64_t level_at(const sliding_count& moved, sliding_count::bucket index,
                                  sliding_count::bucket stride);
    static double base_requests(const service_traffic& service, const region_traffic& region,
                                base::time_point now);
    static allowance share_allowance(const service_traffic& service, const region_traffic& region,
                                     base::time_point now);
    static allowance absolute_allowance(const service_traffic& service, base::time_point now);
    static void settle_credits(service_traffic& service, base::time_point now);
    template <class Level>
    static std::optional<base::duration> wait_for(const sliding_count& moved, const allowance& start,
                                                  Level level, base::time_point now);
    static shift_status status_of(const shift_key& key, const service_traffic& service,
                                  const region_traffic& region, base::time_point now);
    static region_traffic& region_of(service_traffic& service, const std::string& home_region,
                                     base::time_point now);
    service_traffic* find_service(const std::string& service);

    std::map<std::string, service_traffic, std::less<>> m_services;
};

} // namespace carawayway::shifting
