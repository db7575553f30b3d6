// The states of one backend server as seen by the entry instance that owns it.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace carawayway::steering {

enum class server_state : std::uint8_t {
    starting, // known, not yet opened for traffic
    warming,  // its usable slots rise from one to all
    active,
    suspect, // lost several requests in a row: ejected, then probed by one request
    draining,
    gone, // removed; requests in flight may still complete
};

enum class server_event : std::uint8_t {
    open_cold,  // opens for traffic with a warm-up
    open_warm,  // opens for traffic with all slots
    warmed_up,  // the warm-up time is over
    turn_cold,  // restarted, or back after an absence
    lose,       // too many losses in a row
    recover,    // a suspect server answered
    drain,      // no new work from now on
    remove,     // no longer listed or owned
    rediscover, // listed again before its last request completed
};

enum class transition : std::uint8_t { taken, ignored };

std::string_view to_string(server_state state);

class server_lifecycle {
public:
    server_lifecycle();
    ~server_lifecycle();
    server_lifecycle(server_lifecycle&&) noexcept;
    server_lifecycle& operator=(server_lifecycle&&) noexcept;
    server_lifecycle(const server_lifecycle&) = delete;
    server_lifecycle& operator=(const server_lifecycle&) = delete;

    // `ignored` when the event has no meaning in the current state, which is then unchanged.
    transition apply(server_event event);

    server_state state() const { return m_state; }

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
    server_state m_state = server_state::starting; // equals the state of m_machine
};

} // namespace carawayway::steering
