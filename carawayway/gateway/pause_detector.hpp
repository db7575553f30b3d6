// Detects that the process has stood still: suspended, stopped, or without processor time.
#pragma once

#include "carawayway/base/time.hpp"

#include <optional>

namespace carawayway::gateway {

// Compares when the event loop runs a periodic timer with when it should have. After a pause the loop finds
// requests, answers and disconnects that arrived in any order while nobody read them, and timers that are due
// at once although what they wait for may have happened.
class pause_detector {
public:
    // A timer that is later than this was held up by a pause.
    static constexpr base::duration tolerance = std::chrono::milliseconds{100};
    // After the first turn, until connections and requests have been read that arrived during a pause.
    static constexpr base::duration catch_up_time = std::chrono::milliseconds{100};

    // The loop runs now, and runs this again at `next_turn` unless it is paused. Returns the length of the
    // pause that has just ended, or zero.
    base::duration record_turn(base::time_point now, base::time_point next_turn);

    // The earliest time at which input may have arrived that was read at `read_at`: the last turn before a
    // pause if it was read right after that.
    base::time_point earliest_arrival(base::time_point read_at) const;

    // Whether a pause has ended after this time.
    bool has_paused_since(base::time_point time) const;

private:
    struct pause {
        base::time_point from;
        base::time_point until; // when the loop has caught up
    };

    bool is_late(base::time_point now) const { return m_next_turn && now - *m_next_turn > tolerance; }
    // When a pause began that goes on since the last turn.
    base::time_point pause_start() const;

    base::time_point m_last_turn{};
    std::optional<base::time_point> m_next_turn; // nothing before the first turn
    std::optional<pause> m_last_pause;
};

} // namespace carawayway::gateway
