// Choice by distance from the caller.
#include "carawayway/placement/gateway_selection.hpp"

#include <algorithm>

namespace carawayway::placement {

namespace {

// A caller excludes an address that failed it and needs another one.
constexpr std::size_t fewest_addresses = 2;
// Each gateway keeps its own connections to servers and its own view of their load: with fewer gateways for
// the callers of a domain, connections are used more often and reports are fresher. The others stand by.
constexpr std::size_t most_in_domain = 4;
// The platform's callers read no more.
constexpr std::size_t most_addresses = 64;

} // namespace

std::vector<std::string> choose_gateways(const gateway_map& gateways, const caller_location& caller) {
    std::vector<std::string> in_domain;
    std::vector<std::string> in_region;
    std::vector<std::string> elsewhere;
    for (const auto& [name, facts] : gateways.all()) {
        const auto& allowed = caller.allowed_regions;
        const bool home =
            allowed.empty() || std::find(allowed.begin(), allowed.end(), facts.region) != allowed.end();
        if (facts.failure_domain == caller.failure_domain) {
            in_domain.push_back(facts.caller_address);
        } else if (facts.region == caller.region) {
            in_region.push_back(facts.caller_address);
        } else if (home) {
            elsewhere.push_back(facts.caller_address);
        }
    }
    std::vector<std::string> chosen = std::move(in_domain);
    chosen.resize(std::min(chosen.size(), most_in_domain));
    if (chosen.size() < fewest_addresses) {
        chosen.insert(chosen.end(), in_region.begin(), in_region.end());
    }
    if (chosen.empty()) {
        chosen = std::move(elsewhere);
    }
    chosen.resize(std::min(chosen.size(), most_addresses));
    return chosen;
}

} // namespace carawayway::placement
