// The choice between the services of a split.
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

// The part whose interval of the weights contains the point in 0..1.
std::size_t part_at(const std::vector<weighted_service>& targets, double total, double point) {
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

traffic_splitter::balance& traffic_splitter::balance_of(const route& item) {
    auto& known = m_balances[item.name];
    if (known.targets != item.targets) {
        known = {item.targets, std::vector<double>(item.targets.size(), 0.0), 0.0};
    }
    return known;
}

std::size_t traffic_splitter::choose(const route& item, std::uint64_t object_hash) {
    if (item.targets.size() < 2) {
        return 0;
    }
    const double total = total_weight(item.targets);
    if (total <= 0.0) {
        return 0;
    }
    auto& state = balance_of(item);
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    std::size_t part = part_at(item.targets, total, static_cast<double>(object_hash) / hash_range);
    const auto excess = [&](std::size_t index) {
        return state.counts[index] - state.total * item.targets[index].weight / total;
    };
    if (excess(part) > tolerated_excess * state.total + 1.0) {
        for (std::size_t index = 0; index < item.targets.size(); ++index) {
            part = excess(index) < excess(part) ? index : part;
        }
    }
    state.counts[part] += 1.0;
    state.total += 1.0;
    if (state.total >= remembered_requests) {
        for (double& count : state.counts) {
            count /= 2.0;
        }
        state.total /= 2.0;
    }
    return part;
}

} // namespace carawayway::routing
