// Chooses a service for each request of a route that splits its traffic.
#include "carawayway/routing/traffic_splitter.hpp"

namespace carawayway::routing {

namespace {

double total_weight(const std::vector<weighted_service>& targets) {
    double total = 0.0;
    for (const auto& target : targets) {
        total += target.weight;
    }
    return total;
}

// Index of the target whose interval contains the point in 0..1, when each target gets an interval in
// proportion to its weight.
std::size_t target_at(const std::vector<weighted_service>& targets, double total, double point) {
    double sum = 0.0;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        sum += targets[index].weight / total;
        if (point < sum) {
            return index;
        }
    }
    return targets.size() - 1;
}

} // namespace

traffic_splitter::request_counts& traffic_splitter::counts_of(const route& split_route) {
    auto& counts = m_counts_by_route[split_route.name];
    if (counts.targets != split_route.targets) {
        counts = {split_route.targets, std::vector<double>(split_route.targets.size(), 0.0), 0.0};
    }
    return counts;
}

std::size_t traffic_splitter::choose(const route& split_route, std::uint64_t object_hash) {
    if (split_route.targets.size() < 2) {
        return 0;
    }
    const double total = total_weight(split_route.targets);
    if (total <= 0.0) {
        return 0;
    }
    auto& counts = counts_of(split_route);
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    std::size_t chosen = target_at(split_route.targets, total, static_cast<double>(object_hash) / hash_range);
    const auto excess = [&](std::size_t index) {
        return counts.by_target[index] - counts.total * split_route.targets[index].weight / total;
    };
    if (excess(chosen) > maximum_excess_share * counts.total + 1.0) {
        for (std::size_t index = 0; index < split_route.targets.size(); ++index) {
            chosen = excess(index) < excess(chosen) ? index : chosen;
        }
    }
    counts.by_target[chosen] += 1.0;
    counts.total += 1.0;
    if (counts.total >= maximum_counted_requests) {
        for (double& count : counts.by_target) {
            count /= 2.0;
        }
        counts.total /= 2.0;
    }
    return chosen;
}

} // namespace carawayway::routing
