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

struct peer_link_up {
    std::string peer;
    wire::hello remote;
};

struct peer_link_down {
    std::string peer;
};

struct peer_message_received {
    std::string peer;
    wire::received_message message;
};

struct peer_connect_failed {
    std::string peer;
    membership::contact_failure failure = membership::contact_failure::timed_out;
};

struct peer_call_lost {
    std::string peer;
    std::uint64_t call = 0;
    engine::loss_evidence evidence = engine::loss_evidence::may_have_arrived;
};

// Total traffic on peer links since the start. Sent about once a second.
struct peer_traffic {
    peer::traffic_counters counters;
};

using peer_event = std::variant<peer_link_up, peer_link_down, peer_message_received, peer_connect_failed,
                                peer_call_lost, peer_traffic>;

using peer_command = std::variant<engine::send_to_peer, engine::broadcast_to_peers, engine::set_peer_targets,
                                  engine::publish_revision>;

} // namespace carawayway::entry
