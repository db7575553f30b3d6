// The last summary of each entry instance, with its age.
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
    // Summaries older than `lifetime` are not used.
    explicit summary_table(base::duration lifetime) : m_lifetime(lifetime) {}

    void update(std::string_view entry, wire::entry_summary summary, base::time_point now);
    void remove(std::string_view entry);

    // Drops what is too old; calls below ignore it in any case.
    void prune(base::time_point now);

    // Null when nothing recent is known.
    const received_summary* find(std::string_view entry, base::time_point now) const;
    const wire::service_summary* find_service(std::string_view entry, std::string_view service,
                                              base::time_point now) const;

    // Requests per second for the service from this home region, over all entry instances with a recent
    // summary. Nothing when no recent summary names the service.
    std::optional<double> region_rate(std::string_view service, std::string_view home_region,
                                      base::time_point now) const;

private:
    bool recent(const received_summary& value, base::time_point now) const;

    base::duration m_lifetime;
    std::map<std::string, received_summary, std::less<>> m_summaries;
};

} // namespace carawayway::membership
