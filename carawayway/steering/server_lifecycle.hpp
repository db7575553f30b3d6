// Lifecycle of one backend server as seen by the entry instance that owns it.
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace carawayway::steering {

enum class server_state : std::uint8_t {
    starting, // known, gets no traffic yet
    warming,  // in service, its usable slots rise from one to all
    active,
    suspect, // ejected after losses in a row, later probed by one request
    draining,
    gone, // removed; requests in flight may still complete
};

enum class server_event : std::uint8_t {
    open_cold,  // gets traffic, with a warm-up
    open_warm,  // gets traffic, with all slots
    warmed_up,  // the warm-up time is over
    restart,    // restarted, or back after an absence: its caches are cold
    eject,      // too many losses in a row
    recover,    // a suspect server answered
    drain,      // gets no new requests from now on
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

    // Returns `ignored` and keeps the state when the event does not apply to the current state.
    transition apply(server_event event);

    server_state state() const { return m_state; }

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
    server_state m_state = server_state::starting; // same as the state of m_machine
};

} // namespace carawayway::steering
