// Selects gateways by their proximity to the caller.
#include "carawayway/placement/gateway_selection.hpp"

#include <algorithm>

namespace carawayway::placement {

namespace {

// A caller that excludes a failed address needs a second one.
constexpr std::size_t minimum_addresses = 2;
// Each gateway has its own connections to the servers and its own view of their load: with fewer gateways for
// the callers of a failure domain, connections are reused more and load reports are fresher. The remaining
// gateways are on standby.
constexpr std::size_t maximum_domain_addresses = 4;
// Callers of the platform read at most this many.
constexpr std::size_t maximum_addresses = 64;

} // namespace

std::vector<std::string> choose_gateways(const gateway_map& gateways, const caller_location& caller) {
    std::vector<std::string> in_domain;
    std::vector<std::string> in_region;
    std::vector<std::string> elsewhere;
    for (const auto& [name, registration] : gateways.all()) {
        const auto& allowed = caller.allowed_regions;
        const bool is_allowed_region = allowed.empty() || std::find(allowed.begin(), allowed.end(),
                                                                    registration.region) != allowed.end();
        if (registration.failure_domain == caller.failure_domain) {
            in_domain.push_back(registration.caller_address);
        } else if (registration.region == caller.region) {
            in_region.push_back(registration.caller_address);
        } else if (is_allowed_region) {
            elsewhere.push_back(registration.caller_address);
        }
    }
    std::vector<std::string> chosen = std::move(in_domain);
    chosen.resize(std::min(chosen.size(), maximum_domain_addresses));
    if (chosen.size() < minimum_addresses) {
        chosen.insert(chosen.end(), in_region.begin(), in_region.end());
    }
    if (chosen.empty()) {
        chosen = std::move(elsewhere);
    }
    chosen.resize(std::min(chosen.size(), maximum_addresses));
    return chosen;
}

} // namespace carawayway::placement
