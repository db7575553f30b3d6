// Scenarios that compare the entry instances with the baselines and measure the latency that an entry
// instance adds.
#include "bench/load/direct_balancers.hpp"
#include "bench/load/entry_callers.hpp"
#include "bench/load/load_report.hpp"
#include "bench/load/scenario_support.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <stdexcept>

namespace carawayway::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto capacity_timeout = std::chrono::seconds(15);

base::duration milliseconds(double value) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double, std::milli>(value));
}

std::unique_ptr<request_sender> make_sender(const std::string& rule, asio::io_context& context,
                                            const deployment& deployed, const scenario_options& options) {
    const auto delays = make_caller_delays(options);
    if (rule == "entries") {
        return std::make_unique<entry_callers>(context, deployed, delays, resend_limits{}, "load");
    }
    auto chosen = balancer_rule::random_choice;
    if (rule == "round_robin") {
        chosen = balancer_rule::round_robin;
    } else if (rule == "least_in_flight") {
        chosen = balancer_rule::least_in_flight;
    } else if (rule != "random") {
        throw std::invalid_argument("rules are entries, random, round_robin and least_in_flight");
    }
    return std::make_unique<direct_balancers>(context, deployed, chosen, delays, resend_limits{},
                                              options.seed + 1);
}

// Measures added latency: sends one request at a time, alternately through the entry instance and directly to
// the server.
class latency_probe {
public:
    latency_probe(asio::io_context& context, asio::ip::tcp::endpoint entry, asio::ip::tcp::endpoint server,
                  std::string service)
        : m_pool(context), m_entry(std::move(entry)), m_server(std::move(server)),
          m_service(std::move(service)) {}

    asio::awaitable<void> run(std::size_t pairs) {
        for (std::size_t pair = 0; pair < pairs; ++pair) {
            co_await measure(m_entry, m_through_entry);
            co_await measure(m_server, m_direct);
        }
    }

    static double median(std::vector<double> values) { return quantile(values, 0.5); }
    static double quantile(std::vector<double>& values, double share) {
        const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + position, values.end());
        return values[static_cast<std::size_t>(position)];
    }

    std::vector<double> m_through_entry; // milliseconds
    std::vector<double> m_direct;

private:
    asio::awaitable<void> measure(asio::ip::tcp::endpoint target, std::vector<double>& latencies) {
        http_request request(http::verb::get, "/service/" + m_service + "/probe", 11);
        request.set(http::field::host, "probe");
        request.prepare_payload();
        const auto started = base::monotonic_now();
        exchange_result result =
            co_await m_pool.exchange(target, {}, std::move(request), started + std::chrono::seconds(1));
        if (!result.response || result.response->result_int() != 200) {
            throw std::runtime_error("a probe request failed");
        }
        latencies.push_back(1000.0 * base::to_seconds(base::monotonic_now() - started));
    }

    http_pool m_pool;
    asio::ip::tcp::endpoint m_entry;
    asio::ip::tcp::endpoint m_server;
    std::string m_service;
};

} // namespace

caller_delays make_caller_delays(const scenario_options& options) {
    const double away = options.client_delay_ms + options.deployed.region_delay_ms;
    return {milliseconds(options.client_delay_ms), milliseconds(away)};
}

std::vector<double> rates_by_service(const load_plan& plan) {
    std::vector<double> sums;
    for (const auto& rates : plan.rates) {
        sums.push_back(std::accumulate(rates.begin(), rates.end(), 0.0));
    }
    return sums;
}

std::vector<double> capacity_by_service(const load_plan& plan, double load) {
    auto capacity = rates_by_service(plan);
    for (double& rate : capacity) {
        rate /= load;
    }
    return capacity;
}

load_plan make_load_plan(const scenario_options& options, const config::policy& policy) {
    load_plan plan;
    for (auto rates : slots_by_service(policy)) {
        const double sum = std::accumulate(rates.begin(), rates.end(), 0.0);
        for (double& rate : rates) {
            const double slots =
                options.demand == region_demand::even ? sum / static_cast<double>(rates.size()) : rate;
            rate = options.load * slots * 1000.0 / options.deployed.service_time_ms;
        }
        plan.rates.push_back(std::move(rates));
    }
    plan.callers = options.callers;
    plan.seed = options.seed;
    plan.warm_up = options.warm_up;
    plan.measurement_time = options.measurement_time;
    plan.deadline = options.deadline;
    return plan;
}

void print_conditions(const scenario_options& options, const deployment& deployed, const load_plan& plan) {
    const auto rates = rates_by_service(plan);
    const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
    fmt::print("{}: {} entry instances, {} servers; service time {} ms {}, which keeps 2.0 times capacity "
               "below 2500 requests/s\n",
               options.deployed.policy_file, deployed.entries().size(), deployed.policy().servers.size(),
               options.deployed.service_time_ms, options.deployed.service_time_distribution);
    fmt::print("load {:.2f} times capacity = {:.0f} requests/s, from the regions {}; deadline {} ms; one-way "
               "delays: {} ms to callers, "
               "{} ms between failure domains, {} ms between regions\n",
               options.load, total,
               options.demand == region_demand::even ? "evenly" : "in proportion to their slots",
               base::to_milliseconds(options.deadline), options.client_delay_ms,
               options.deployed.domain_delay_ms, options.deployed.region_delay_ms);
}

void wait_for_usable_slots(const deployment& deployed) {
    if (!deployed.wait_for_capacity(capacity_timeout)) {
        fmt::print("warning: only {} slots are usable at the start of the run\n", deployed.usable_slots());
    }
    fmt::print("links between entry instances through the link stand-in: {}\n", deployed.delayed_links());
}

int run_headroom(const scenario_options& options) {
    const deployment deployed(options.deployed);
    const load_plan plan = make_load_plan(options, deployed.policy());
    print_conditions(options, deployed, plan);
    const auto capacity = capacity_by_service(plan, options.load);
    print_header(
        fmt::format("load {:.2f}, {} s measured", options.load, base::to_seconds(options.measurement_time)));
    for (const auto& rule : options.rules) {
        if (rule == "entries") {
            wait_for_usable_slots(deployed);
        }
        asio::io_context context(1);
        const auto sender = make_sender(rule, context, deployed, options);
        const auto result = run_load(context, *sender, plan);
        print_result(rule, deployed.policy(), result, capacity, options.measurement_time);
    }
    fmt::print("load average {:.1f}\n", load_average());
    return 0;
}

int run_added_latency(const scenario_options& options) {
    constexpr std::size_t uncounted_pairs = 200;
    constexpr std::size_t pairs = 3000;
    const deployment deployed(options.deployed);
    wait_for_usable_slots(deployed);
    const auto& entry = deployed.entries().front();
    const auto& servers = deployed.policy().servers;
    const auto server = std::find_if(servers.begin(), servers.end(), [&](const auto& item) {
        const auto* service = deployed.policy().find_service(item.service);
        return item.failure_domain == entry.failure_domain &&
               service->semantics == config::request_semantics::idempotent;
    });
    const auto colon = server->address.rfind(':');
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address(server->address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(server->address.substr(colon + 1))));
    asio::io_context context(1);
    latency_probe probe(context, entry.callers, address, server->service);
    std::exception_ptr failure;
    asio::co_spawn(context, probe.run(uncounted_pairs + pairs),
                   [&failure](const std::exception_ptr& error) { failure = error; });
    context.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    probe.m_through_entry.erase(probe.m_through_entry.begin(),
                                probe.m_through_entry.begin() + uncounted_pairs);
    probe.m_direct.erase(probe.m_direct.begin(), probe.m_direct.begin() + uncounted_pairs);
    const double through = latency_probe::median(probe.m_through_entry);
    const double direct = latency_probe::median(probe.m_direct);
    fmt::print("added latency: {} pairs in sequence, service time {} ms, entry {} and server {} in {}, no "
               "added delay; load average {:.1f}\n",
               pairs, options.deployed.service_time_ms, entry.name, server->name, entry.failure_domain,
               load_average());
    fmt::print("median through the entry instance {:.3f} ms, direct {:.3f} ms, added {:.3f} ms\n", through,
               direct, through - direct);
    fmt::print("p99 through the entry instance {:.3f} ms, direct {:.3f} ms\n",
               latency_probe::quantile(probe.m_through_entry, 0.99),
               latency_probe::quantile(probe.m_direct, 0.99));
    return 0;
}

} // namespace carawayway::bench
