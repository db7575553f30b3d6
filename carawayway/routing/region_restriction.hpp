// The regions that may serve, relay or store a request.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawayway::routing {

class region_restriction {
public:
    // Allows all regions.
    region_restriction() = default;

    // Operators write an empty list where there is no restriction.
    static region_restriction from_list(std::vector<std::string> regions) {
        region_restriction result;
        if (!regions.empty()) {
            result.m_regions = std::move(regions);
        }
        return result;
    }

    bool allows(std::string_view region) const {
        return !m_regions || std::find(m_regions->begin(), m_regions->end(), region) != m_regions->end();
    }

    // Whether there is no region that may serve the request.
    bool allows_none() const { return m_regions && m_regions->empty(); }

    // Allows what both allow.
    region_restriction restricted_by(const region_restriction& other) const {
        if (!m_regions || !other.m_regions) {
            return m_regions ? *this : other;
        }
        region_restriction result = *this;
        std::erase_if(*result.m_regions,
                      [&other](const std::string& region) { return !other.allows(region); });
        return result;
    }

    bool operator==(const region_restriction&) const = default;

private:
    std::optional<std::vector<std::string>> m_regions; // nothing: all; empty: none
};

} // namespace carawayway::routing
