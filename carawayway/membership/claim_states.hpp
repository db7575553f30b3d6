// Predicates on claim states, used only by the source files of server_ownership.
#pragma once

#include "carawayway/wire/messages.hpp"

namespace carawayway::membership {

// The holder of an established claim may have requests in flight on the server; a pending claim is not yet
// confirmed by the peers.
constexpr bool is_established(wire::claim_state state) {
    return state == wire::claim_state::owned || state == wire::claim_state::releasing;
}

constexpr bool is_pending(wire::claim_state state) {
    return state == wire::claim_state::proposed || state == wire::claim_state::unconfirmed;
}

} // namespace carawayway::membership
