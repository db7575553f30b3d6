// Compares the moved requests of a sliding window with those of earlier windows.
#include "carawayway/shifting/shift_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace carawayway::shifting {

namespace {

using bucket = sliding_count::bucket;

// 250 buckets divide any window of whole milliseconds without a remainder. Sums include a full bucket at both
// ends of a window; in steady state this makes the limiter admit 1/250 less moved traffic, which for caps
// above 0.4% is less than one window may add.
constexpr bucket window_buckets = 250;

// Covers the current window, the windows that end up to one window before its start, and the current bucket.
constexpr std::size_t history_buckets = 3 * window_buckets + 2;

// Step of the search for the time at which a move is admitted: 4% of a window is much finer than the whole
// seconds of Retry-After.
constexpr bucket search_step = 10;

// Compensates rounding errors in products such as 0.1 * 100.
constexpr double rounding_slack = 1e-9;

base::duration bucket_length_of(base::duration window) {
    const auto rounded_up = (window + base::duration{window_buckets - 1}) / window_buckets;
    return std::max(rounded_up, base::duration{1});
}

// Upper bound of the moved requests in a window that ends at any time within bucket `index`.
std::uint64_t moved_in_window(const sliding_count& moved, bucket index) {
    return moved.sum(index - window_buckets - 1, index);
}

double filled_credit(double requests, double fill_rate, base::duration elapsed) {
    return std::min(1.0, requests + fill_rate * base::to_seconds(std::max(elapsed, base::duration::zero())));
}

bool is_positive(double value) {
    return std::isfinite(value) && value > 0;
}

} // namespace

shift_limiter::region_traffic::region_traffic(base::duration bucket_length, base::time_point now)
    : moved(bucket_length, history_buckets, now),
      arrived(bucket_length, window_buckets, now), share_credit{0, now},
      baseline_bucket(moved.bucket_at(now)) {}

shift_limiter::service_traffic::service_traffic(const config::shift_cap& initial_cap, std::uint32_t entries,
                                                base::time_point now)
    : cap(initial_cap), receiving_entries(std::max(entries, 1U)),
      moved(bucket_length_of(initial_cap.window), history_buckets, now), absolute_credit{0, now} {}

base::duration shift_limiter::service_traffic::bucket_length() const {
    return bucket_length_of(cap.window);
}

// Whether one more request may move when `moved` requests have moved in the window. Below one request per
// window, the accumulated credit decides.
bool shift_limiter::allowance::admits(std::uint64_t moved) const {
    return moved < baseline || moved < baseline + increment();
}

std::uint64_t shift_limiter::allowance::increment() const {
    if (per_window + rounding_slack >= 1) {
        return static_cast<std::uint64_t>(per_window + rounding_slack);
    }
    return credit + rounding_slack >= 1 ? 1 : 0;
}

bool shift_limiter::allowance::uses_credit(std::uint64_t moved) const {
    return per_window + rounding_slack < 1 && moved >= baseline;
}

shift_limiter::allowance shift_limiter::allowance::after(base::duration wait) const {
    allowance later = *this;
    later.credit = filled_credit(credit, fill_rate, wait);
    return later;
}

// The highest number of moved requests in any window that ended before the current window began, at most one
// window earlier. With a stride above 1, only some of these windows are examined, which gives a lower bound.
std::uint64_t shift_limiter::baseline_at(const sliding_count& moved, bucket index, bucket stride) {
    std::uint64_t highest = 0;
    for (bucket last = index - 2 * window_buckets; last < index - window_buckets; last += stride) {
        highest = std::max(highest, moved.sum(last - window_buckets, last));
    }
    return highest;
}

double shift_limiter::reference_requests(const service_traffic& service, const region_traffic& region,
                                         base::time_point now) {
    if (region.reference_rate) {
        const auto window = service.bucket_length() * window_buckets;
        return *region.reference_rate * base::to_seconds(window) / service.receiving_entries;
    }
    const bucket current = region.arrived.bucket_at(now);
    return static_cast<double>(region.arrived.sum(current - window_buckets, current));
}

shift_limiter::allowance shift_limiter::share_allowance(const service_traffic& service,
                                                        const region_traffic& region, base::time_point now) {
    allowance result;
    const double share = is_positive(service.cap.share) ? service.cap.share : 0;
    result.per_window = share * reference_requests(service, region, now);
    if (region.reference_rate) {
        result.fill_rate = share * *region.reference_rate / service.receiving_entries;
    }
    result.credit =
        filled_credit(region.share_credit.requests, result.fill_rate, now - region.share_credit.filled_at);
    return result;
}

shift_limiter::allowance shift_limiter::absolute_allowance(const service_traffic& service,
                                                           base::time_point now) {
    allowance result;
    const double rate = service.cap.requests_per_second.value_or(0);
    result.fill_rate = is_positive(rate) ? rate / service.receiving_entries : 0;
    result.per_window = result.fill_rate * base::to_seconds(service.bucket_length() * window_buckets);
    result.credit = filled_credit(service.absolute_credit.requests, result.fill_rate,
                                  now - service.absolute_credit.filled_at);
    return result;
}

void shift_limiter::fill_credits(service_traffic& service, base::time_point now) {
    service.absolute_credit = {absolute_allowance(service, now).credit, now};
    for (auto& [name, region] : service.regions) {
        region.share_credit = {share_allowance(service, region, now).credit, now};
    }
}

void shift_limiter::configure(const std::string& service, const config::shift_cap& cap,
                              std::uint32_t receiving_entries, base::time_point now) {
    const auto [found, created] = m_services.try_emplace(service, cap, receiving_entries, now);
    if (created) {
        return;
    }
    service_traffic& traffic = found->second;
    fill_credits(traffic, now);
    const auto old_length = traffic.bucket_length();
    traffic.cap = cap;
    traffic.receiving_entries = std::max(receiving_entries, 1U);
    const auto new_length = traffic.bucket_length();
    if (old_length == new_length) {
        return;
    }
    traffic.moved = traffic.moved.with_bucket_length(new_length, now);
    for (auto& [name, region] : traffic.regions) {
        region.moved = region.moved.with_bucket_length(new_length, now);
        region.arrived = region.arrived.with_bucket_length(new_length, now);
        region.baseline_bucket = region.moved.bucket_at(now);
        region.baseline = baseline_at(region.moved, region.baseline_bucket, 1);
    }
}

void shift_limiter::set_reference_rate(const shift_key& key, double requests_per_second,
                                       base::time_point now) {
    auto* service = find_service(key.service);
    if (service == nullptr) {
        return;
    }
    auto& region = region_of(*service, key.home_region, now);
    region.share_credit = {share_allowance(*service, region, now).credit, now};
    region.reference_rate =
        is_positive(requests_per_second) ? std::optional<double>{requests_per_second} : std::nullopt;
}

void shift_limiter::record_arrival(const shift_key& key, arrival_kind kind, base::time_point now) {
    auto* service = find_service(key.service);
    if (service == nullptr || kind == arrival_kind::resend) {
        return;
    }
    auto& region = region_of(*service, key.home_region, now);
    region.arrived.add(now);
    if (!region.reference_rate && is_positive(service->cap.share)) {
        region.share_credit = {std::min(1.0, region.share_credit.requests + service->cap.share), now};
    }
}

bool shift_limiter::try_move(const shift_key& key, base::time_point now) {
    auto* service = find_service(key.service);
    if (service == nullptr || !is_positive(service->cap.share)) {
        return false;
    }
    auto& region = region_of(*service, key.home_region, now);
    const bucket current = region.moved.bucket_at(now);
    if (region.baseline_bucket != current) {
        region.baseline = baseline_at(region.moved, current, 1);
        region.baseline_bucket = current;
    }
    const bool share_limited = service->cap.share < 1;
    allowance share = share_allowance(*service, region, now);
    share.baseline = region.baseline;
    const auto moved = moved_in_window(region.moved, current);
    if (share_limited && !share.admits(moved)) {
        return false;
    }
    const bool rate_limited = service->cap.requests_per_second.has_value();
    const allowance absolute = absolute_allowance(*service, now);
    const auto moved_of_service = moved_in_window(service->moved, current);
    if (rate_limited && !absolute.admits(moved_of_service)) {
        return false;
    }
    if (share_limited && share.uses_credit(moved)) {
        region.share_credit = {share.credit - 1, now};
    }
    if (rate_limited && absolute.uses_credit(moved_of_service)) {
        service->absolute_credit = {absolute.credit - 1, now};
    }
    region.moved.add(now);
    service->moved.add(now);
    return true;
}

// Time until a move is admitted if nothing moves until then, searched in steps of `search_step`.
template <class Baseline>
std::optional<base::duration> shift_limiter::time_until_admitted(const sliding_count& moved,
                                                                 const allowance& start, Baseline baseline,
                                                                 base::time_point now) {
    const bucket current = moved.bucket_at(now);
    for (bucket index = current; index <= current + window_buckets + search_step; index += search_step) {
        const auto wait = index == current ? base::duration::zero() : moved.start_of(index) - now;
        allowance later = start.after(wait);
        later.baseline = baseline(index);
        if (later.admits(moved_in_window(moved, index))) {
            return wait;
        }
    }
    if (start.fill_rate <= 0) {
        return std::nullopt;
    }
    const double missing_seconds = (1 - start.credit) / start.fill_rate;
    constexpr double longest_wait = 3600; // seconds; tiny rates would exceed the range of base::duration
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>(std::min(missing_seconds, longest_wait)));
}

base::duration shift_limiter::retry_after(const shift_key& key, base::time_point now) const {
    const auto service = m_services.find(key.service);
    if (service == m_services.end()) {
        return config::shift_cap{}.window;
    }
    const auto& [cap, entries, moved, absolute_credit, regions] = service->second;
    const auto region = regions.find(key.home_region);
    if (!is_positive(cap.share) || region == regions.end()) {
        return cap.window;
    }
    base::duration wait{};
    if (cap.share < 1) {
        const auto& moved_of_region = region->second.moved;
        const auto baseline = [&moved_of_region](bucket index) {
            return baseline_at(moved_of_region, index, search_step);
        };
        const auto share = share_allowance(service->second, region->second, now);
        wait = time_until_admitted(moved_of_region, share, baseline, now).value_or(cap.window);
    }
    if (cap.requests_per_second) {
        const auto no_baseline = [](bucket /*index*/) { return std::uint64_t{0}; };
        const auto absolute = absolute_allowance(service->second, now);
        wait = std::max(wait, time_until_admitted(moved, absolute, no_baseline, now).value_or(cap.window));
    }
    return wait;
}

std::vector<shift_status> shift_limiter::status(base::time_point now) const {
    std::vector<shift_status> result;
    for (const auto& [service_name, service] : m_services) {
        for (const auto& [region_name, region] : service.regions) {
            result.push_back(status_of({service_name, region_name}, service, region, now));
        }
    }
    return result;
}

shift_status shift_limiter::status_of(const shift_key& key, const service_traffic& service,
                                      const region_traffic& region, base::time_point now) {
    shift_status status{key.service, key.home_region, 0, 0, service.cap.share, base::duration::zero()};
    const double reference = reference_requests(service, region, now);
    const bucket current = region.moved.bucket_at(now);
    const auto moved = static_cast<double>(moved_in_window(region.moved, current));
    const auto baseline = static_cast<double>(baseline_at(region.moved, current, 1));
    if (reference > 0) {
        status.moved_share = moved / reference;
        status.allowed_share = std::min(1.0, baseline / reference + std::max(service.cap.share, 0.0));
    }
    for (bucket index = current - window_buckets; index <= current; ++index) {
        if (region.moved.sum(index - 1, index) > 0) {
            status.window_left = region.moved.start_of(index + window_buckets + 1) - now;
            break;
        }
    }
    return status;
}

shift_limiter::service_traffic* shift_limiter::find_service(const std::string& service) {
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

shift_limiter::region_traffic&
shift_limiter::region_of(service_traffic& service, const std::string& home_region, base::time_point now) {
    return service.regions.try_emplace(home_region, service.bucket_length(), now).first->second;
}

} // namespace carawayway::shifting
