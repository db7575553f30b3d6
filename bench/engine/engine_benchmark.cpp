// Measures the CPU cost of a request, a look-up and a control interval in an entry instance for several
// deployment sizes.
#include "carawayway/requests/request_id.hpp"
#include "deployment.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace carawayway::bench {
namespace {

engine::request_ptr make_request(const std::string& service, std::string request_id) {
    engine::service_request request;
    request.service = service;
    request.client_address = "127.0.0.1";
    request.method = "GET";
    request.target = "/service/" + service + "/item/42";
    request.request_id = std::move(request_id);
    return std::make_shared<const engine::service_request>(std::move(request));
}

// Completes the attempts that the request has started with a successful answer.
void answer_attempt(deployment& simulation, engine::effects& effects) {
    for (auto& effect : std::exchange(effects, {})) {
        if (const auto* attempt = std::get_if<engine::start_attempt>(&effect)) {
            engine::server_result result;
            result.outcome = engine::attempt_outcome::answered;
            result.status = 200;
            simulation.engine().attempt_finished(attempt->attempt, std::move(result), simulation.now(),
                                                 effects);
        }
    }
    effects.clear();
}

void idempotent_request(benchmark::State& state) {
    deployment simulation({});
    simulation.settle();
    const auto request = make_request("s0", "");
    engine::effects effects;
    std::uint64_t token = 0;
    for (auto _ : state) {
        simulation.advance(std::chrono::microseconds(100));
        simulation.engine().caller_request(++token, request, simulation.now(), effects);
        answer_attempt(simulation, effects);
    }
}
BENCHMARK(idempotent_request);

void non_idempotent_request(benchmark::State& state) {
    deployment simulation({});
    simulation.settle();
    engine::effects effects;
    std::uint64_t token = 0;
    const auto lookup = simulation.engine().lookup("s1", "127.0.0.1", simulation.now());
    for (auto _ : state) {
        state.PauseTiming();
        const auto request = make_request("s1", lookup.request_id_prefix + std::to_string(token));
        state.ResumeTiming();
        simulation.engine().caller_request(++token, request, simulation.now(), effects);
        answer_attempt(simulation, effects);
    }
}
BENCHMARK(non_idempotent_request)->Iterations(100000);

void lookup(benchmark::State& state) {
    deployment simulation(
        {.domains = 14, .entries_per_domain = static_cast<std::uint32_t>(state.range(0)) / 14});
    simulation.settle();
    std::uint32_t client = 0;
    for (auto _ : state) {
        ++client;
        const auto address = fmt::format("127.{}.{}.{}", client % 200, client % 251, client % 241);
        benchmark::DoNotOptimize(simulation.engine().lookup("s0", address, simulation.now()));
    }
    state.counters["entries"] = static_cast<double>(state.range(0));
}
BENCHMARK(lookup)->Arg(14)->Arg(112)->Arg(420);

// Work of one heartbeat interval: a heartbeat and a summary from each linked peer, and one tick.
void control_interval(benchmark::State& state) {
    deployment simulation(
        {.domains = 14, .entries_per_domain = static_cast<std::uint32_t>(state.range(0)) / 14});
    simulation.settle();
    engine::effects effects;
    for (auto _ : state) {
        simulation.advance(std::chrono::milliseconds(480));
        simulation.receive_control_round();
        simulation.engine().tick(simulation.now(), effects);
        effects.clear();
    }
    state.counters["entries"] = static_cast<double>(state.range(0));
    state.counters["links"] = static_cast<double>(simulation.link_count());
}
BENCHMARK(control_interval)->Arg(14)->Arg(112)->Arg(420)->Unit(benchmark::kMicrosecond);

// The tick that runs every 5 ms. Most ticks only check deadlines; some also do control work.
void timer_tick(benchmark::State& state) {
    deployment simulation(
        {.domains = 14, .entries_per_domain = static_cast<std::uint32_t>(state.range(0)) / 14});
    simulation.settle();
    engine::effects effects;
    for (auto _ : state) {
        simulation.advance(std::chrono::milliseconds(5));
        simulation.engine().tick(simulation.now(), effects);
        effects.clear();
    }
    state.counters["entries"] = static_cast<double>(state.range(0));
}
BENCHMARK(timer_tick)->Arg(14)->Arg(112)->Arg(420)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace carawayway::bench

BENCHMARK_MAIN();
