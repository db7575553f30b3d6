// Sorts entry instances by distance, and those at the same distance in a weighted random order.
#include "carawayway/shifting/entry_selector.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <compare>
#include <optional>

namespace carawayway::shifting {

namespace {

enum class distance : std::uint8_t { own_failure_domain, own_region, home_region, other_region };

enum class freshness : std::uint8_t { fresh, stale };

struct ranked_entry {
    distance rank = distance::other_region;
    double key = 0; // among those at the same distance
    const entry_summary* summary = nullptr;
};

distance distance_to(const spill_over_request& request, const entry_summary& summary) {
    if (summary.failure_domain == request.own_failure_domain) {
        return distance::own_failure_domain;
    }
    if (summary.region == request.own_region) {
        return distance::own_region;
    }
    return summary.region == request.home_region ? distance::home_region : distance::other_region;
}

bool is_region_allowed(const spill_over_request& request, std::string_view region) {
    const auto& allowed = request.allowed_regions;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

// Requests that the entry instance can start at once, as far as this one knows.
std::uint32_t available_slots(const entry_summary& summary) {
    const std::uint64_t occupied = std::uint64_t{summary.queued} + summary.sent_since_summary;
    return occupied >= summary.free_slots ? 0 : static_cast<std::uint32_t>(summary.free_slots - occupied);
}

bool is_usable(const spill_over_request& request, const entry_summary& summary,
               const selector_limits& limits) {
    return summary.state == config::administrative_state::active && available_slots(summary) > 0 &&
           summary.link_in_flight < summary.link_limit && is_region_allowed(request, summary.region) &&
           summary.round_trip + limits.typical_latency <= request.remaining;
}

// A sort key that is exponentially distributed with the available slots as rate: sorting by it is a random
// order weighted by available slots (weighted sampling without replacement).
double weighted_random_key(std::uint32_t slots, std::mt19937_64& random) {
    return std::exponential_distribution<double>(slots)(random);
}

std::vector<ranked_entry> rank_entries(const spill_over_request& request,
                                       std::span<const entry_summary> summaries,
                                       const selector_limits& limits, freshness wanted,
                                       std::mt19937_64& random) {
    std::vector<ranked_entry> ranked;
    for (const auto& summary : summaries) {
        const auto actual = summary.age > limits.stale_after ? freshness::stale : freshness::fresh;
        if (actual == wanted && is_usable(request, summary, limits)) {
            ranked.push_back({distance_to(request, summary),
                              weighted_random_key(available_slots(summary), random), &summary});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const ranked_entry& left, const ranked_entry& right) {
        return left.rank != right.rank ? left.rank < right.rank : left.key < right.key;
    });
    return ranked;
}

// Weighted rendezvous hashing: maps the hash to an exponential variate with the weight as rate. A change of
// one weight moves only callers from or to that entry instance.
double rendezvous_key(std::string_view client_address, const known_entry& entry) {
    const auto hash = base::rendezvous_rank(client_address, entry.entry);
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;
    return -std::log(uniform) / entry.weight;
}

} // namespace

std::vector<entry_candidate> spill_over_order(const spill_over_request& request,
                                              std::span<const entry_summary> summaries,
                                              const selector_limits& limits, std::mt19937_64& random) {
    auto ranked = rank_entries(request, summaries, limits, freshness::fresh, random);
    if (ranked.empty()) {
        ranked = rank_entries(request, summaries, limits, freshness::stale, random);
    }
    std::vector<entry_candidate> candidates;
    candidates.reserve(ranked.size());
    for (const auto& item : ranked) {
        const auto crossing = item.summary->region == request.home_region
                                  ? region_crossing::serves_home_region
                                  : region_crossing::leaves_home_region;
        candidates.push_back(
            {item.summary->entry, item.summary->failure_domain, item.summary->region, crossing});
    }
    return candidates;
}

std::vector<std::size_t> lookup_order(std::string_view home_region, std::string_view client_address,
                                      std::span<const known_entry> entries) {
    struct ranked_index {
        bool is_outside_home_region = false;
        double key = 0;
        std::size_t index = 0;
    };
    std::vector<ranked_index> ranked;
    ranked.reserve(entries.size());
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const auto& entry = entries[index];
        if (entry.state == entry_state::active) {
            ranked.push_back({entry.region != home_region, rendezvous_key(client_address, entry), index});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const ranked_index& left, const ranked_index& right) {
        if (left.is_outside_home_region != right.is_outside_home_region) {
            return right.is_outside_home_region;
        }
        return left.key != right.key ? left.key < right.key : left.index < right.index;
    });
    std::vector<std::size_t> order;
    order.reserve(ranked.size());
    for (const auto& item : ranked) {
        order.push_back(item.index);
    }
    return order;
}

} // namespace carawayway::shifting
