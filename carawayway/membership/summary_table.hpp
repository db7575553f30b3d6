// Holds the last summary received from each entry instance and the time of its arrival.
#pragma once

#include "carawayway/base/time.hpp"
#include "carawayway/wire/messages.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace carawayway::membership {

struct received_summary {
    wire::entry_summary summary;
    base::time_point received_at{};
};

class summary_table {
public:
    // Summaries older than `lifetime` are ignored.
    explicit summary_table(base::duration lifetime) : m_lifetime(lifetime) {}

    void update(std::string_view entry, wire::entry_summary summary, base::time_point now);
    void remove(std::string_view entry);

    // Removes expired summaries. The queries below ignore them in any case.
    void prune(base::time_point now);

    // Null if there is no recent summary or, in find_service(), if it does not name the service.
    const received_summary* find(std::string_view entry, base::time_point now) const;
    const wire::service_summary* find_service(std::string_view entry, std::string_view service,
                                              base::time_point now) const;

    // Sum of the requests per second for the service from this home region, over all recent summaries.
    // Nothing if no recent summary names the service.
    std::optional<double> region_rate(std::string_view service, std::string_view home_region,
                                      base::time_point now) const;

private:
    bool is_recent(const received_summary& value, base::time_point now) const;

    base::duration m_lifetime;
    std::map<std::string, received_summary, std::less<>> m_summaries;
};

} // namespace carawayway::membership
