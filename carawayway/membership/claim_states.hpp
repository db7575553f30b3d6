// Groups of claim states; private to the source files of server_ownership.
#pragma once

#include "carawayway/wire/messages.hpp"

namespace carawayway::membership {

// An established claim may have requests on the server; the others only want to have it.
constexpr bool established(wire::claim_state state) {
    return state == wire::claim_state::owned || state == wire::claim_state::releasing;
}

constexpr bool waiting(wire::claim_state state) {
    return state == wire::claim_state::proposed || state == wire::claim_state::unconfirmed;
}

} // namespace carawayway::membership
