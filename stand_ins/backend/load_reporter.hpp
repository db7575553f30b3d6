// The load that a server reports, which may lag behind or be wrong.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace stand_ins {

class load_reporter {
public:
    void changed(std::uint32_t in_flight, carawayway::base::time_point now);
    std::uint32_t reported(carawayway::base::time_point now);

    void set_lag(carawayway::base::duration lag) { m_lag = lag; }
    void set_fixed(std::optional<std::uint32_t> value) { m_fixed = value; }

private:
    struct sample {
        carawayway::base::time_point time;
        std::uint32_t in_flight = 0;
    };

    std::deque<sample> m_samples; // in time order; the first is the newest that is at least as old as the lag
    carawayway::base::duration m_lag{};
    std::optional<std::uint32_t> m_fixed;
};

} // namespace stand_ins
