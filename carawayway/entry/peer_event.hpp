// Messages between the peer thread and the steering thread.
#pragma once

#include "carawayway/engine/effect.hpp"
#include "carawayway/engine/request_engine.hpp"
#include "carawayway/membership/member_table.hpp"
#include "carawayway/peer/peer_types.hpp"
#include "carawayway/wire/messages.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace carawayway::entry {

struct peer_linked {
    std::string peer;
    wire::hello remote;
};

struct peer_unlinked {
    std::string peer;
};

struct peer_spoke {
    std::string peer;
    wire::received_message message;
};

struct peer_not_reached {
    std::string peer;
    membership::contact_failure evidence = membership::contact_failure::timed_out;
};

struct peer_call_lost {
    std::string peer;
    std::uint64_t call = 0;
    engine::loss_evidence evidence = engine::loss_evidence::may_have_arrived;
};

// All traffic on peer links since the start, about once a second.
struct peer_traffic {
    peer::traffic_counters counters;
};

using peer_event =
    std::variant<peer_linked, peer_unlinked, peer_spoke, peer_not_reached, peer_call_lost, peer_traffic>;

using peer_command = std::variant<engine::send_to_peer, engine::broadcast_to_peers, engine::set_peer_targets,
                                  engine::publish_revision>;

} // namespace carawayway::entry
