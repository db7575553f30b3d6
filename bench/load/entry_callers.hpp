// Callers that use the entry instances with look-ups, request IDs and resends.
#pragma once

#include "bench/load/deployment.hpp"
#include "bench/load/http_pool.hpp"
#include "bench/load/request_sender.hpp"
#include "bench/load/resend_rules.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <string>
#include <vector>

namespace carawayway::bench {

class entry_callers : public request_sender {
public:
    // `deployed` outlives the callers. `regions` are the policy's regions in order.
    entry_callers(boost::asio::io_context& context, const deployment& deployed, caller_delays delays,
                  resend_limits limits, std::string run_name);

    boost::asio::awaitable<request_report> send(arrival request, base::time_point planned,
                                                base::time_point deadline) override;

private:
    struct known_entry {
        boost::asio::ip::tcp::endpoint address;
        std::string region;
    };
    // A look-up answer. The request ID prefix is valid at the entry instance that gave the answer.
    struct look_up {
        std::vector<known_entry> entries;
        std::size_t used = 0; // index of the entry instance in use
        std::string prefix;
        base::time_point valid_until{};
        base::time_point accepted_until{};
    };
    struct caller {
        boost::asio::ip::address source;
        std::string region;
        std::map<std::size_t, look_up> look_ups; // by service
    };
    // State of a request across its attempts.
    struct request_progress {
        std::uint32_t sends = 0;
        std::string id;
        failed_attempt failed;
    };

    caller& caller_of(const arrival& request);
    boost::asio::awaitable<bool> refresh_look_up(caller& origin, std::size_t service,
                                                 base::time_point deadline);
    boost::asio::awaitable<bool> look_up_at(caller& origin, std::size_t service, known_entry target,
                                            base::time_point deadline);
    boost::asio::awaitable<bool> next_entry(caller& origin, std::size_t service, base::time_point deadline);
    boost::asio::awaitable<exchange_result>
    exchange_with_delay(caller& origin, known_entry target, http_request request, base::time_point deadline);
    boost::asio::awaitable<std::string> attempt(caller& origin, std::size_t service, request_progress& state,
                                                base::time_point deadline);
    failed_attempt read_problem(caller& origin, std::size_t service, const http_response& response,
                                std::string& reason) const;
    boost::asio::awaitable<void> pause(base::duration length);
    http_request make_request(const config::service_policy& service, const request_progress& state,
                              base::duration remaining) const;
    std::string fresh_id(const look_up& known);

    boost::asio::io_context& m_context;
    const deployment& m_deployed;
    caller_delays m_delays;
    resend_limits m_limits;
    std::string m_run_name;
    http_pool m_pool;
    std::map<std::pair<std::size_t, std::size_t>, caller> m_callers; // by region and index within the region
    std::vector<std::string> m_block_prefixes; // of each region, for example "127.10.0.0"
    std::uint64_t m_last_nonce = 0;
};

} // namespace carawayway::bench
