// Measures the cost of reserving and completing requests at several pool sizes and loads, and of queue
// operations.
#include "carawayway/steering/admission_queue.hpp"
#include "carawayway/steering/server_pool.hpp"

#include <benchmark/benchmark.h>

#include <array>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace carawayway::steering {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint32_t slots = 6;

server_pool<> make_pool(std::uint32_t servers, base::time_point now) {
    server_pool<> pool;
    for (std::uint32_t index = 0; index < servers; ++index) {
        pool.upsert({"server-" + std::to_string(index), slots, 0, base::duration::zero()}, now);
    }
    return pool;
}

// Range 0: servers; range 1: percentage of slots in use.
void reserve_and_complete(benchmark::State& state) {
    const auto servers = static_cast<std::uint32_t>(state.range(0));
    base::time_point now{std::chrono::seconds{1000}};
    server_pool<> pool = make_pool(servers, now);
    std::vector<server_handle> running;
    const std::size_t wanted = std::size_t{servers} * slots * static_cast<std::size_t>(state.range(1)) / 100;
    while (running.size() < wanted) {
        running.push_back(*pool.reserve(now));
    }
    std::mt19937_64 random{1};
    for (auto iteration : state) {
        (void)iteration;
        now += microseconds{10};
        const auto handle = pool.reserve(now);
        const std::size_t completed_index = running.empty() ? 0 : random() % running.size();
        const server_handle completed =
            running.empty() ? *handle : std::exchange(running[completed_index], *handle);
        pool.complete(completed, completion_kind::answered, milliseconds{20} + microseconds{random() % 1000},
                      now);
    }
}
BENCHMARK(reserve_and_complete)->ArgsProduct({{10, 100, 1000}, {0, 95, 98}});

// Every tenth request fails, is shed or is lost.
void reserve_and_complete_with_errors(benchmark::State& state) {
    const auto servers = static_cast<std::uint32_t>(state.range(0));
    base::time_point now{std::chrono::seconds{1000}};
    server_pool<> pool = make_pool(servers, now);
    std::mt19937_64 random{1};
    constexpr std::array errors{completion_kind::failed, completion_kind::shed, completion_kind::lost};
    for (auto iteration : state) {
        (void)iteration;
        now += microseconds{100};
        const auto handle = pool.reserve(now);
        if (!handle) {
            continue;
        }
        const std::uint64_t draw = random() % 30;
        pool.complete(*handle, draw < errors.size() ? errors.at(draw) : completion_kind::answered,
                      milliseconds{20}, now);
    }
}
BENCHMARK(reserve_and_complete_with_errors)->Arg(10)->Arg(100)->Arg(1000);

// Range 0: waiting requests; range 1: range of the deadlines in milliseconds.
void offer_and_take(benchmark::State& state) {
    const auto waiting = static_cast<std::size_t>(state.range(0));
    const auto spread = static_cast<std::uint64_t>(state.range(1));
    base::time_point now{std::chrono::seconds{1000}};
    admission_queue queue;
    std::mt19937_64 random{1};
    std::uint64_t token = 0;
    const auto offer = [&] {
        const base::time_point deadline = now + milliseconds{2000 + random() % spread};
        queue.offer({++token, deadline, now}, 100, milliseconds{1}, now);
    };
    while (queue.size() < waiting) {
        offer();
    }
    for (auto iteration : state) {
        (void)iteration;
        now += microseconds{10};
        offer();
        benchmark::DoNotOptimize(queue.take(now, milliseconds{1}));
        queue.record_completion(now);
    }
}
BENCHMARK(offer_and_take)->ArgsProduct({{10, 1000, 4000}, {1, 1000}});

} // namespace
} // namespace carawayway::steering

BENCHMARK_MAIN();
