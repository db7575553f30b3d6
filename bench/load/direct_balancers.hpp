// Baselines for comparison: independent load balancers that send requests directly to the backend servers,
// without a queue.
#pragma once

#include "bench/load/deployment.hpp"
#include "bench/load/http_pool.hpp"
#include "bench/load/request_sender.hpp"
#include "bench/load/resend_rules.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace carawayway::bench {

enum class balancer_rule : std::uint8_t { random_choice, round_robin, least_in_flight };

// Has one balancer for each entry instance of the deployment. A caller always uses the same balancer of its
// region. The first attempt goes to a server of that region; after a shed request the servers of all regions
// are candidates.
class direct_balancers : public request_sender {
public:
    // `deployed` outlives the balancers.
    direct_balancers(boost::asio::io_context& context, const deployment& deployed, balancer_rule rule,
                     caller_delays delays, resend_limits limits, std::uint64_t seed);

    boost::asio::awaitable<request_report> send(arrival request, base::time_point planned,
                                                base::time_point deadline) override;

private:
    struct server {
        boost::asio::ip::tcp::endpoint address;
        std::size_t service = 0;
        std::string region;
    };
    struct balancer {
        std::string region;
        std::vector<std::uint32_t> in_flight; // for each server, sent by this balancer
        std::vector<std::size_t> last;        // for each service, the server that was chosen last
    };

    balancer& balancer_of(const arrival& request);
    std::size_t choose(balancer& origin, std::size_t service, std::uint32_t sends);
    boost::asio::awaitable<exchange_result> attempt(balancer& origin, std::size_t index,
                                                    const arrival& request, base::time_point deadline);
    boost::asio::awaitable<void> pause(base::duration length);

    boost::asio::io_context& m_context;
    const deployment& m_deployed;
    balancer_rule m_rule;
    caller_delays m_delays;
    resend_limits m_limits;
    std::mt19937_64 m_random;
    http_pool m_pool;
    std::vector<server> m_servers;
    std::vector<balancer> m_balancers;
    std::uint64_t m_last_id = 0;
};

} // namespace carawayway::bench
