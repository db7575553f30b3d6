// One send of a request to one server, and the limits of its connection.
#pragma once

#include "carawayway/gateway/connect_timeout.hpp"
#include "carawayway/gateway/content_guard.hpp"
#include "carawayway/gateway/server_exchange.hpp"
#include "carawayway/placement/server_selector.hpp"
#include "carawayway/routing/configuration.hpp"

#include <memory>

namespace carawayway::gateway {

template <platform_protocol Platform>
struct server_attempt {
    placement::server_handle server;
    boost::asio::ip::tcp::endpoint address; // of the server
    content_losses losses_when_sent;        // as known at that time
    placement::object_cache_state cache_state = placement::object_cache_state::not_cached;
    base::duration expected_latency{}; // time until the response, as estimated when the server was chosen
    base::time_point chosen_at{};
    std::shared_ptr<server_exchange<Platform>> exchange;
};

// How long a connection may have been idle before a request is sent on it. A server may have dropped an idle
// connection without notice, so a request that must not be retried uses only recently used ones. Suspected
// content gets a new connection: it shows that the server is alive when the request is sent, so that a loss
// is not that of a server that had ended before.
inline base::duration maximum_idle_time(routing::request_semantics semantics, const content_losses& losses) {
    if (losses.is_suspected()) {
        return base::duration::zero();
    }
    return semantics == routing::request_semantics::idempotent ? std::chrono::seconds{60}
                                                               : std::chrono::seconds{3};
}

} // namespace carawayway::gateway
