// Expected run time of a request, by route and by whether the server holds the object.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace carawayway::placement {

enum class object_cache_state : std::uint8_t { cached, not_cached };

// Moving averages of the run times that were observed at servers with free slots. A route without
// observations takes the average of its service, and a service without any the default.
class run_time_estimator {
public:
    // Stands in until the first answer; in the range of the runs that the users' sheets name.
    static constexpr base::duration default_run_time = std::chrono::milliseconds{150};

    void observe(const std::string& route, const std::string& service, object_cache_state warmth,
                 base::duration run_time);

    base::duration expected(const std::string& route, const std::string& service,
                            object_cache_state warmth) const;

    // Over all routes and both states, as the mix of requests had it.
    base::duration mean_of_service(const std::string& service) const;

private:
    struct average {
        double seconds = 0.0;
        std::uint32_t samples = 0;

        void add(double value);
    };

    struct by_warmth {
        average held;
        average not_held;
    };

    std::unordered_map<std::string, by_warmth> m_routes;
    std::unordered_map<std::string, by_warmth> m_services;
    std::unordered_map<std::string, average> m_means;
};

} // namespace carawayway::placement
