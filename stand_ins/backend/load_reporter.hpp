// The load that a server reports. Tests can make it lag behind the real load or replace it by a fixed value.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace stand_ins {

class load_reporter {
public:
    void add_sample(std::uint32_t in_flight, carawayway::base::time_point now);
    std::uint32_t reported_load(carawayway::base::time_point now);

    void set_lag(carawayway::base::duration lag) { m_lag = lag; }
    void set_fixed(std::optional<std::uint32_t> value) { m_fixed_value = value; }

private:
    struct sample {
        carawayway::base::time_point time;
        std::uint32_t in_flight = 0;
    };

    // By time. The first sample is the newest one that is at least as old as the lag, if there is one.
    std::deque<sample> m_samples;
    carawayway::base::duration m_lag{};
    std::optional<std::uint32_t> m_fixed_value;
};

} // namespace stand_ins
