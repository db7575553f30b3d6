// Look-ups by name in the lists of a policy.
#include "carawayway/config/policy.hpp"

#include <algorithm>

namespace carawayway::config {

namespace {

template <class Item>
const Item* find_by_name(const std::vector<Item>& items, std::string_view name) {
    const auto found =
        std::find_if(items.begin(), items.end(), [name](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const region_policy* policy::find_region(std::string_view name) const {
    return find_by_name(regions, name);
}

const failure_domain_policy* policy::find_failure_domain(std::string_view name) const {
    return find_by_name(failure_domains, name);
}

const service_policy* policy::find_service(std::string_view name) const {
    return find_by_name(services, name);
}

const server_policy* policy::find_server(std::string_view name) const {
    return find_by_name(servers, name);
}

std::string_view policy::region_of(std::string_view failure_domain) const {
    const auto* found = find_failure_domain(failure_domain);
    return found == nullptr ? std::string_view{} : std::string_view{found->region};
}

base::duration policy::longest_timeout() const {
    base::duration longest{};
    for (const auto& service : services) {
        longest = std::max(longest, service.maximum_timeout);
    }
    return longest;
}

} // namespace carawayway::config
