// The log lines about one request of a caller.
#pragma once

#include "carawayway/gateway/rate_limited_log.hpp"
#include "carawayway/gateway/request_content.hpp"
#include "carawayway/gateway/server_exchange.hpp"
#include "carawayway/gateway/wire_types.hpp"
#include "carawayway/placement/server_selector.hpp"
#include "carawayway/routing/configuration.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace carawayway::gateway {

// How a request ended for which the gateway itself has answered.
struct given_up_request {
    std::string_view kind;
    const routing::route* route = nullptr; // null if none was found
    std::uint64_t configuration = 0;       // version; 0 without a configuration
    std::uint32_t attempts = 0;
    std::span<const std::string> tried_servers; // IDs
    base::duration after{};
    base::duration retry_after{};
};

class request_log {
public:
    // All references must outlive this object.
    request_log(rate_limited_log& log, const request_metadata& metadata, request_content& content)
        : m_log(log), m_metadata(metadata), m_content(content) {}

    // Lines with the same content and different request IDs show a request that is sent again and loses a
    // server each time.
    void write_lost_attempt(const placement::server_state& server, std::uint32_t attempts,
                            base::duration after, base::time_point now);
    void write_cleared_content(const placement::server_state& server, unsigned status, base::time_point now);
    void write_given_up(const given_up_request& request, base::time_point now);
    // For a request that no server is expected to answer in time, because of its run time and not because of
    // a queue. Tells whose run time it is.
    void write_too_late(const routing::route& route, const placement::placement_result& placed,
                        base::duration time_left, base::time_point now);
    // For a request that more than one server has got.
    void write_repeated(unsigned status, std::uint32_t attempts, std::span<const std::string> tried_servers,
                        base::duration after, base::time_point now);
    void write_served(const routing::route& route, const std::string& service,
                      const placement::server_state& server, placement::object_cache_state cache_state,
                      const exchange_result& result, base::duration expected_latency) const;

private:
    rate_limited_log& m_log;
    const request_metadata& m_metadata;
    request_content& m_content;
};

} // namespace carawayway::gateway
