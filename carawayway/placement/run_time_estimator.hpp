// Estimates the run time of a request by its route and by whether the server has its object cached.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace carawayway::placement {

enum class object_cache_state : std::uint8_t { cached, not_cached };

// The samples that an expected run time is taken from.
enum class run_time_basis : std::uint8_t {
    none,              // the default is used
    service,           // of other routes to the same service
    other_cache_state, // of the same route, with objects in the other cache state
    route,             // of the same route and cache state
};

std::string_view to_text(run_time_basis basis);

// Keeps moving averages of the run times that were observed at servers without a queue. A route without
// samples uses the averages of its service, and a service without samples uses the default.
class run_time_estimator {
public:
    // Used until the first answer; within the range of run times that the platform's users state.
    static constexpr base::duration default_run_time = std::chrono::milliseconds{150};

    void observe(const std::string& route, const std::string& service, object_cache_state cache_state,
                 base::duration run_time);

    // Forgets the samples of the route in this cache state in favour of one.
    void replace(const std::string& route, object_cache_state cache_state, base::duration run_time);

    base::duration expected(const std::string& route, const std::string& service,
                            object_cache_state cache_state) const;

    run_time_basis basis(const std::string& route, const std::string& service,
                         object_cache_state cache_state) const;

    // Mean over all recent requests of the service, whatever their route and cache state.
    base::duration mean_run_time(const std::string& service) const;

private:
    struct average {
        double seconds = 0.0;
        std::uint32_t samples = 0;

        void add(double value);
    };

    struct averages_by_cache_state {
        average cached;
        average not_cached;
    };

    std::unordered_map<std::string, averages_by_cache_state> m_by_route;
    std::unordered_map<std::string, averages_by_cache_state> m_by_service;
    std::unordered_map<std::string, average> m_service_means;
};

} // namespace carawayway::placement
