// What the engine wants done. The runtime carries the effects out in order; tests inspect them.
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
    std::uint64_t attempt = 0; // never reused within an incarnation
    std::string server;
    std::string address;
    std::string request_id;
    request_ptr request;
    base::duration server_timeout{}; // the server gives up after this
    base::duration timeout{};        // the connection is closed after this; not shorter than `server_timeout`
    base::time_point write_deadline; // no byte may be written after this time
};

struct cancel_attempt {
    std::uint64_t attempt = 0;
};

// With a `call`, the runtime reports the loss of the call when the message or its result is lost on the link.
struct send_to_peer {
    std::string entry;
    wire::peer_message message;
    std::optional<std::uint64_t> call;
};

// To all peers with a link.
struct broadcast_to_peers {
    wire::peer_message message;
};

struct probe_server {
    std::string server;
    std::string address;
};

// The peers to keep links to from now on.
struct set_peer_targets {
    std::vector<wire::member_record> peers;
};

// The revision in force, for the envelope of each message.
struct publish_revision {
    std::int64_t revision = 0;
};

enum class store_watch : std::uint8_t { off, on };

// Whether this entry instance watches the store and reads the instance list.
struct set_store_watch {
    store_watch state = store_watch::off;
};

using effect =
    std::variant<respond_to_caller, start_attempt, cancel_attempt, send_to_peer, broadcast_to_peers,
                 probe_server, set_peer_targets, publish_revision, set_store_watch>;

using effects = std::vector<effect>;

} // namespace carawayway::engine
