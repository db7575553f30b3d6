// Stores summaries, expires them and sums their rates.
#include "carawayway/membership/summary_table.hpp"

#include <algorithm>
#include <utility>

namespace carawayway::membership {

bool summary_table::is_recent(const received_summary& value, base::time_point now) const {
    return now - value.received_at <= m_lifetime;
}

void summary_table::update(std::string_view entry, wire::entry_summary summary, base::time_point now) {
    m_summaries.insert_or_assign(std::string(entry), received_summary{std::move(summary), now});
}

void summary_table::remove(std::string_view entry) {
    const auto found = m_summaries.find(entry);
    if (found != m_summaries.end()) {
        m_summaries.erase(found);
    }
}

void summary_table::prune(base::time_point now) {
    std::erase_if(m_summaries, [this, now](const auto& item) { return !is_recent(item.second, now); });
}

const received_summary* summary_table::find(std::string_view entry, base::time_point now) const {
    const auto found = m_summaries.find(entry);
    return found == m_summaries.end() || !is_recent(found->second, now) ? nullptr : &found->second;
}

const wire::service_summary* summary_table::find_service(std::string_view entry, std::string_view service,
                                                         base::time_point now) const {
    const received_summary* received = find(entry, now);
    if (received == nullptr) {
        return nullptr;
    }
    const auto& services = received->summary.services;
    const auto found = std::find_if(services.begin(), services.end(),
                                    [service](const auto& item) { return item.service == service; });
    return found == services.end() ? nullptr : &*found;
}

std::optional<double> summary_table::region_rate(std::string_view service, std::string_view home_region,
                                                 base::time_point now) const {
    std::optional<double> total;
    for (const auto& [entry, received] : m_summaries) {
        const wire::service_summary* summary = find_service(entry, service, now);
        if (summary == nullptr) {
            continue;
        }
        total = total.value_or(0);
        for (const auto& rate : summary->home_rates) {
            total = *total + (rate.region == home_region ? rate.requests_per_second : 0);
        }
    }
    return total;
}

} // namespace carawayway::membership
