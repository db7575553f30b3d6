// Measures the cost of a request in the request registry and in the shift limiter, and the memory of a
// record.
#include "carawayway/requests/request_registry.hpp"
#include "carawayway/shifting/shift_limiter.hpp"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <malloc.h>
#include <memory>
#include <random>

namespace carawayway {
namespace {

using namespace std::chrono_literals;
using answer = std::shared_ptr<const std::string>;
using registry = requests::request_registry<answer>;

constexpr std::size_t record_count = 200000;
constexpr base::time_point start{1h};
constexpr auto acceptance = 60s;
constexpr auto retention = 5s;
// Keeps 200,000 records in the table: a record lives for the acceptance and retention time.
constexpr base::duration arrival_interval = (acceptance + retention) / std::int64_t{record_count};

// 36 characters, the length of a UUID.
std::string nonce(std::uint64_t number) {
    return fmt::format("{:036x}", number);
}

requests::request_id make_id(registry& table, std::uint64_t number, base::time_point now) {
    base::failure reason;
    return requests::parse_request_id(table.issue_prefix(now) + nonce(number), reason).value();
}

registry make_registry() {
    return registry({"entry-hki-a-1", 1, start, acceptance, retention, record_count + 1000, 42});
}

// Runs one request from begin to finish.
void run_request(registry& table, const requests::request_id& id, const answer& outcome,
                 base::time_point now) {
    benchmark::DoNotOptimize(table.begin(id, id.nonce.size(), 1, now));
    benchmark::DoNotOptimize(table.try_mark_dispatched(id));
    benchmark::DoNotOptimize(table.finish(id, outcome, now));
}

void fill(registry& table, const answer& outcome, base::time_point& now) {
    for (std::size_t number = 0; number < record_count; ++number) {
        run_request(table, make_id(table, number, now), outcome, now);
        now += arrival_interval;
    }
}

void begin_dispatch_finish(benchmark::State& state) {
    const auto outcome = std::make_shared<const std::string>("answer");
    registry table = make_registry();
    base::time_point now = start;
    fill(table, outcome, now);
    constexpr std::size_t batch = 1000;
    std::uint64_t number = record_count;
    std::vector<requests::request_id> ids;
    while (state.KeepRunningBatch(batch)) {
        state.PauseTiming();
        ids.clear();
        for (std::size_t index = 0; index < batch; ++index) {
            ids.push_back(make_id(table, number++, now));
        }
        state.ResumeTiming();
        for (const auto& id : ids) {
            run_request(table, id, outcome, now);
            now += arrival_interval;
        }
    }
    state.counters["records"] = static_cast<double>(table.size());
}
BENCHMARK(begin_dispatch_finish);

void replay(benchmark::State& state) {
    const auto outcome = std::make_shared<const std::string>("answer");
    registry table = make_registry();
    base::time_point now = start;
    std::vector<requests::request_id> ids;
    for (std::size_t number = 0; number < record_count; ++number) {
        ids.push_back(make_id(table, number, now));
        run_request(table, ids.back(), outcome, now);
    }
    std::mt19937_64 random(1);
    for (auto iteration : state) {
        const auto& id = ids[random() % ids.size()];
        benchmark::DoNotOptimize(table.begin(id, id.nonce.size(), 1, now));
    }
}
BENCHMARK(replay);

void memory_per_record(benchmark::State& state) {
    const auto outcome = std::make_shared<const std::string>("answer");
    for (auto iteration : state) {
        const auto before = mallinfo2();
        registry table = make_registry();
        base::time_point now = start;
        fill(table, outcome, now);
        const auto after = mallinfo2();
        const auto used = (after.uordblks + after.hblkhd) - (before.uordblks + before.hblkhd);
        state.counters["bytes_per_record"] = static_cast<double>(used) / static_cast<double>(table.size());
    }
}
BENCHMARK(memory_per_record)->Iterations(1)->Unit(benchmark::kMillisecond);

void parse_id(benchmark::State& state) {
    const std::string text = "entry-hki-a-1.00000000000000a1.123456789." + nonce(7);
    base::failure reason;
    for (auto iteration : state) {
        benchmark::DoNotOptimize(requests::parse_request_id(text, reason));
    }
}
BENCHMARK(parse_id);

void request_lifecycle(benchmark::State& state) {
    for (auto iteration : state) {
        auto current = requests::request_state::received;
        benchmark::DoNotOptimize(current);
        current = requests::next_state(current, requests::request_event::dispatch).value();
        benchmark::DoNotOptimize(current);
        current = requests::next_state(current, requests::request_event::finish).value();
        benchmark::DoNotOptimize(current);
    }
}
BENCHMARK(request_lifecycle);

const shifting::shift_key key{"varaus", "uusimaa"};

enum class expected_decision : std::uint8_t { moved, refused };

// 1000 requests per second arrive from a region, and each one asks to move to another region.
void limiter(benchmark::State& state, expected_decision expected) {
    shifting::shift_limiter limiter;
    limiter.configure(key.service, {expected == expected_decision::moved ? 0.9 : 0.01, 10s, std::nullopt}, 1,
                      start);
    limiter.set_reference_rate(key, expected == expected_decision::moved ? 1e9 : 1, start);
    base::time_point now = start;
    for (auto iteration : state) {
        now += 1ms;
        limiter.record_arrival(key, shifting::arrival_kind::first_time, now);
        benchmark::DoNotOptimize(limiter.try_move(key, now));
        if (expected == expected_decision::refused) {
            benchmark::DoNotOptimize(limiter.retry_after(key, now));
        }
    }
}
BENCHMARK_CAPTURE(limiter, arrival_and_move, expected_decision::moved);
BENCHMARK_CAPTURE(limiter, arrival_refusal_and_retry_after, expected_decision::refused);

} // namespace
} // namespace carawayway
