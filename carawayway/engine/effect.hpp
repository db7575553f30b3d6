// Effects that the engine requests: messages, attempts, responses. The runtime carries them out in order, and
// tests inspect them.
#pragma once

#include "carawayway/engine/lookup_response.hpp"
#include "carawayway/engine/service_request.hpp"
#include "carawayway/wire/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carawayway::engine {

struct respond_to_caller {
    std::uint64_t token = 0;
    response_ptr response;
};

struct start_attempt {
    std::uint64_t attempt = 0; // number, never reused within an incarnation
    std::string server;
    std::string address;
    std::string request_id;
    request_ptr request;
    base::duration server_timeout{}; // sent to the server, which gives up after it
    base::duration timeout{};        // the connection is closed after it; at least `server_timeout`
    base::time_point write_deadline; // no byte of the request may be written after it
};

struct cancel_attempt {
    std::uint64_t attempt = 0;
};

// If `call` is set, the runtime reports the call as lost when the link loses the message or its result.
struct send_to_peer {
    std::string entry;
    wire::peer_message message;
    std::optional<std::uint64_t> call;
};

// Sends the message to all linked peers.
struct broadcast_to_peers {
    wire::peer_message message;
};

struct probe_server {
    std::string server;
    std::string address;
};

// Replaces the set of peers to keep links to.
struct set_peer_targets {
    std::vector<wire::member_record> peers;
};

// Sets the policy revision that the envelope of each message carries.
struct publish_revision {
    std::int64_t revision = 0;
};

enum class store_watch : std::uint8_t { off, on };

// Starts or stops watching the store and reading the instance list.
struct set_store_watch {
    store_watch state = store_watch::off;
};

using effect =
    std::variant<respond_to_caller, start_attempt, cancel_attempt, send_to_peer, broadcast_to_peers,
                 probe_server, set_peer_targets, publish_revision, set_store_watch>;

using effects = std::vector<effect>;

} // namespace carawayway::engine
