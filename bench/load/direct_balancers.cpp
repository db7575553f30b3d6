// Chooses servers and resends requests that a server shed.
#include "bench/load/direct_balancers.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace carawayway::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr auto answer_grace = std::chrono::milliseconds(500);

} // namespace

direct_balancers::direct_balancers(asio::io_context& context, const deployment& deployed, balancer_rule rule,
                                   caller_delays delays, resend_limits limits, std::uint64_t seed)
    : m_context(context), m_deployed(deployed), m_rule(rule), m_delays(delays), m_limits(limits),
      m_random(seed), m_pool(context) {
    const auto& policy = deployed.policy();
    for (const auto& item : policy.servers) {
        const auto colon = item.address.rfind(':');
        const auto service = std::find_if(policy.services.begin(), policy.services.end(),
                                          [&item](const auto& found) { return found.name == item.service; });
        m_servers.push_back({{asio::ip::make_address(item.address.substr(0, colon)),
                              static_cast<std::uint16_t>(std::stoi(item.address.substr(colon + 1)))},
                             static_cast<std::size_t>(service - policy.services.begin()),
                             std::string(policy.region_of(item.failure_domain))});
    }
    for (const auto& entry : deployed.entries()) {
        m_balancers.push_back({entry.region, std::vector<std::uint32_t>(m_servers.size()),
                               std::vector<std::size_t>(policy.services.size())});
    }
}

direct_balancers::balancer& direct_balancers::balancer_of(const arrival& request) {
    const std::string& region = m_deployed.policy().regions[request.region].name;
    std::vector<balancer*> candidates;
    for (auto& item : m_balancers) {
        if (item.region == region) {
            candidates.push_back(&item);
        }
    }
    return candidates.empty() ? m_balancers[request.caller % m_balancers.size()]
                              : *candidates[request.caller % candidates.size()];
}

std::size_t direct_balancers::choose(balancer& origin, std::size_t service, std::uint32_t sends) {
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        const bool near = sends > 1 || m_servers[index].region == origin.region;
        if (m_servers[index].service == service && near) {
            candidates.push_back(index);
        }
    }
    if (candidates.empty()) {
        return choose(origin, service, 2); // no server of the service in this region
    }
    // Starts at a random candidate, so that ties are broken at random.
    std::rotate(candidates.begin(),
                candidates.begin() + static_cast<std::ptrdiff_t>(m_random() % candidates.size()),
                candidates.end());
    std::size_t& last = origin.last[service];
    switch (m_rule) {
    case balancer_rule::random_choice:
        last = candidates.front();
        break;
    case balancer_rule::round_robin: {
        std::sort(candidates.begin(), candidates.end());
        const auto next = std::upper_bound(candidates.begin(), candidates.end(), last);
        last = next == candidates.end() ? candidates.front() : *next;
        break;
    }
    case balancer_rule::least_in_flight:
        last = *std::min_element(candidates.begin(), candidates.end(), [&origin](auto left, auto right) {
            return origin.in_flight[left] < origin.in_flight[right];
        });
        break;
    }
    return last;
}

asio::awaitable<void> direct_balancers::pause(base::duration length) {
    asio::steady_timer timer(m_context, length);
    co_await timer.async_wait(use_tuple);
}

asio::awaitable<exchange_result> direct_balancers::attempt(balancer& origin, std::size_t index,
                                                           const arrival& request,
                                                           base::time_point deadline) {
    const auto& target = m_servers[index];
    const auto delay = target.region == origin.region ? m_delays.own_region : m_delays.other_region;
    const auto remaining = deadline - base::monotonic_now() - 2 * delay;
    const auto& service = m_deployed.policy().services[request.service];
    http_request message(http::verb::post, "/service/" + service.name + "/load", 11);
    message.set(http::field::host, "server");
    message.set("X-Request-Id", "direct-" + std::to_string(++m_last_id));
    message.set("X-Request-Timeout-Ms",
                std::to_string(std::max<std::int64_t>(1, base::to_milliseconds(remaining))));
    message.prepare_payload();
    ++origin.in_flight[index];
    if (delay > base::duration::zero()) {
        co_await pause(delay);
    }
    exchange_result result =
        co_await m_pool.exchange(target.address, {}, std::move(message), deadline + answer_grace);
    if (delay > base::duration::zero()) {
        co_await pause(delay);
    }
    --origin.in_flight[index];
    co_return result;
}

asio::awaitable<request_report> direct_balancers::send(arrival request, base::time_point planned,
                                                       base::time_point deadline) {
    balancer& origin = balancer_of(request);
    request_report report;
    for (;;) {
        ++report.sends;
        const std::size_t index = choose(origin, request.service, report.sends);
        exchange_result result = co_await attempt(origin, index, request, deadline);
        if (result.response && result.response->result_int() == 200) {
            report.end = request_end::in_time;
            report.reason.clear();
            break;
        }
        const bool shed = result.response && (*result.response)["X-Refused"] == "before-work";
        const bool refused = shed || result.end == exchange_end::not_sent;
        report.end = refused ? request_end::refused : request_end::unknown;
        report.reason = shed ? "shed by the server" : refused ? "connection failed" : "deadline exceeded";
        if (!refused) {
            break;
        }
        const auto decision = decide_direct_resend(report.sends, deadline - base::monotonic_now(), m_limits);
        if (decision.action == resend_action::give_up) {
            break;
        }
        report.last_refusal = report.reason;
        co_await pause(decision.wait);
    }
    report.finished = base::monotonic_now();
    report.latency = report.finished - planned;
    if (report.end == request_end::in_time && report.finished > deadline) {
        report.end = request_end::late;
    }
    co_return report;
}

} // namespace carawayway::bench
