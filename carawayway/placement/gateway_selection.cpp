// Selects gateways by their proximity to the caller and by what their machines can carry.
#include "carawayway/placement/gateway_selection.hpp"

#include "carawayway/base/hash.hpp"
#include "carawayway/placement/gateway_capacity.hpp"

#include <algorithm>
#include <map>

namespace carawayway::placement {

namespace {

// A caller that excludes a failed address needs a second one.
constexpr std::size_t minimum_addresses = 2;
// Each gateway has its own connections to the servers and its own view of their load: with fewer gateways for
// the callers of a failure domain, connections are reused more and load reports are fresher. The remaining
// gateways are on standby.
constexpr std::size_t maximum_domain_addresses_of_unknown_capacity = 4;
// Callers of the platform read at most this many.
constexpr std::size_t maximum_addresses = 64;

struct candidate {
    double capacity = 0.0;  // 0: unknown
    std::uint64_t rank = 0; // orders gateways of the same capacity alike at all gateways
    const std::string* address = nullptr;
};

std::size_t domain_addresses_to_use(const std::vector<candidate>& sorted) {
    // Sorted by capacity, so that gateways of unknown capacity come last.
    if (sorted.empty() || sorted.back().capacity <= 0.0) {
        return std::min(sorted.size(), maximum_domain_addresses_of_unknown_capacity);
    }
    std::vector<double> capacities;
    capacities.reserve(sorted.size());
    for (const auto& item : sorted) {
        capacities.push_back(item.capacity);
    }
    return gateways_to_use(capacities, minimum_addresses);
}

std::vector<std::string> choose_in_domain(std::vector<candidate> candidates) {
    std::sort(candidates.begin(), candidates.end(), [](const candidate& left, const candidate& right) {
        return left.capacity != right.capacity ? left.capacity > right.capacity : left.rank > right.rank;
    });
    candidates.resize(domain_addresses_to_use(candidates));
    std::vector<std::string> addresses;
    addresses.reserve(candidates.size());
    for (const auto& item : candidates) {
        addresses.push_back(*item.address);
    }
    return addresses;
}

} // namespace

std::vector<std::string> choose_gateways(const gateway_map& gateways, const caller_location& caller) {
    std::vector<candidate> in_domain;
    std::vector<std::string> in_region;
    std::vector<std::string> elsewhere;
    for (const auto& [name, registration] : gateways.all()) {
        const auto& allowed = caller.allowed_regions;
        const bool is_allowed_region = allowed.empty() || std::find(allowed.begin(), allowed.end(),
                                                                    registration.region) != allowed.end();
        if (registration.failure_domain == caller.failure_domain) {
            in_domain.push_back({request_capacity(registration.machine),
                                 base::rendezvous_rank(caller.failure_domain, name),
                                 &registration.caller_address});
        } else if (registration.region == caller.region) {
            in_region.push_back(registration.caller_address);
        } else if (is_allowed_region) {
            elsewhere.push_back(registration.caller_address);
        }
    }
    auto chosen = choose_in_domain(std::move(in_domain));
    if (chosen.size() < minimum_addresses) {
        chosen.insert(chosen.end(), in_region.begin(), in_region.end());
    }
    if (chosen.empty()) {
        chosen = std::move(elsewhere);
    }
    chosen.resize(std::min(chosen.size(), maximum_addresses));
    return chosen;
}

std::size_t count_chosen_gateways(const gateway_map& gateways) {
    std::map<std::string, std::vector<candidate>> by_domain;
    for (const auto& [name, registration] : gateways.all()) {
        by_domain[registration.failure_domain].push_back(
            {request_capacity(registration.machine), 0, &registration.caller_address});
    }
    std::size_t count = 0;
    for (auto& [domain, candidates] : by_domain) {
        count += choose_in_domain(std::move(candidates)).size();
    }
    return count;
}

} // namespace carawayway::placement
