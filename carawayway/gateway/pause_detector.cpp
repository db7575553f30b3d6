// Keeps the last pause, since requests that were read during the turn after it are handled later.
#include "carawayway/gateway/pause_detector.hpp"

namespace carawayway::gateway {

base::duration pause_detector::record_turn(base::time_point now, base::time_point next_turn) {
    base::duration length{};
    if (is_late(now)) {
        length = now - m_last_turn;
        m_last_pause = {pause_start(), now + catch_up_time};
    }
    m_last_turn = now;
    m_next_turn = next_turn;
    return length;
}

base::time_point pause_detector::earliest_arrival(base::time_point read_at) const {
    if (is_late(read_at)) {
        return pause_start();
    }
    if (m_last_pause && read_at > m_last_pause->from && read_at <= m_last_pause->until) {
        return m_last_pause->from;
    }
    return read_at;
}

base::time_point pause_detector::pause_start() const {
    const bool has_caught_up = !m_last_pause || m_last_turn > m_last_pause->until;
    return has_caught_up ? m_last_turn : m_last_pause->from;
}

bool pause_detector::has_paused_since(base::time_point time) const {
    return m_last_pause && m_last_pause->until > time;
}

} // namespace carawayway::gateway
