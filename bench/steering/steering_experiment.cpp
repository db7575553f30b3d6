// Discrete-event simulation of one service under several load balancing rules and loads.
#include "bench/steering/baseline_pool.hpp"
#include "carawayway/steering/admission_queue.hpp"
#include "carawayway/steering/server_pool.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

DEFINE_uint64(seed, 20261203, "random seed of arrivals, service times and server choices");
DEFINE_uint32(requests, 200000, "arrivals in each run");
DEFINE_uint32(servers, 16, "servers of the service");
DEFINE_uint32(slots, 6, "slots of each server");
DEFINE_double(service_ms, 20, "mean service time in milliseconds");
DEFINE_double(deadline_ms, 300, "remaining time of each request on arrival, in milliseconds");
DEFINE_double(short_deadline_ms, 0,
              "remaining time of every second request, in milliseconds; 0: the same as deadline_ms");
DEFINE_double(contention, 1.0,
              "relative increase of the service time when all other slots of the server are in use");
DEFINE_double(slow_factor, 5, "service time of the slow server relative to the other servers");

namespace carawayway::bench {
namespace {

enum class fault : std::uint8_t { none, contention, slow_server, failing_server };
enum class queueing : std::uint8_t { admission, first_in_first_out };

constexpr base::duration fast_error_time = std::chrono::milliseconds{1};
constexpr std::size_t fifo_queue_capacity = 4096;

base::duration from_seconds(double value) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(value));
}

struct outcome_counts {
    std::uint64_t answered = 0;           // of the measured arrivals
    std::uint64_t answered_in_period = 0; // during the measured arrivals
    std::uint64_t refused = 0;
    std::uint64_t expired_in_queue = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t failed = 0;
    std::vector<double> latencies_ms; // of requests answered in time, including time in the queue
    double seconds = 0.0;
};

// A FIFO queue that rejects requests only when it is full, as a baseline for admission_queue.
class fifo_queue {
public:
    steering::admission offer(const steering::waiting_request& request, std::uint32_t /*slots*/,
                              std::optional<base::duration> /*typical*/, base::time_point /*now*/,
                              std::optional<base::duration> /*high*/) {
        if (m_waiting.size() >= fifo_queue_capacity) {
            return {steering::admission_verdict::refused_full, {}};
        }
        m_waiting.push_back(request);
        return {};
    }
    std::optional<steering::waiting_request> take(base::time_point /*now*/, base::duration /*needed*/) {
        if (m_waiting.empty()) {
            return std::nullopt;
        }
        const steering::waiting_request first = m_waiting.front();
        m_waiting.pop_front();
        return first;
    }
    std::vector<steering::waiting_request> take_expired(base::time_point now, base::duration /*needed*/) {
        std::vector<steering::waiting_request> expired;
        while (!m_waiting.empty() && m_waiting.front().deadline <= now) {
            expired.push_back(m_waiting.front());
            m_waiting.pop_front();
        }
        return expired;
    }
    std::size_t size() const { return m_waiting.size(); }
    void record_completion(base::time_point /*now*/) {}

private:
    std::deque<steering::waiting_request> m_waiting;
};

template <class Pool, class Queue>
class experiment {
public:
    experiment(Pool pool, double load, fault injected)
        : m_pool(std::move(pool)), m_load(load), m_fault(injected), m_random(FLAGS_seed),
          m_in_flight(FLAGS_servers) {
        for (std::uint32_t index = 0; index < FLAGS_servers; ++index) {
            m_pool.upsert({"server-" + std::to_string(index), FLAGS_slots, 0, base::duration::zero()}, m_now);
        }
    }

    // Measures only the second half of the arrivals, when the queue and the learned state have settled.
    outcome_counts run() {
        const double rate = m_load * FLAGS_servers * FLAGS_slots / (FLAGS_service_ms / 1000.0);
        std::exponential_distribution<double> gap(rate);
        base::time_point arrival = m_now;
        base::time_point measured_from = m_now;
        for (std::uint32_t number = 0; number < FLAGS_requests; ++number) {
            arrival += from_seconds(gap(m_random));
            complete_until(arrival);
            if (number == FLAGS_requests / 2) {
                measured_from = arrival;
                m_answered_in_period = 0;
            }
            m_counts.answered_in_period = m_answered_in_period;
            m_now = arrival;
            const bool is_short = FLAGS_short_deadline_ms > 0 && number % 2 == 1;
            const double remaining = (is_short ? FLAGS_short_deadline_ms : FLAGS_deadline_ms) / 1000.0;
            arrive({number, arrival + from_seconds(remaining), arrival});
        }
        m_counts.seconds = base::to_seconds(arrival - measured_from);
        // Requests that are still queued or running are counted as well, but not as answered in the period.
        complete_until(arrival + from_seconds(FLAGS_deadline_ms + FLAGS_service_ms));
        return std::move(m_counts);
    }

private:
    struct running_request {
        base::time_point ends;
        base::time_point started;
        steering::completion_kind kind{};
        steering::server_handle server;
        steering::waiting_request request;

        bool operator>(const running_request& other) const { return ends > other.ends; }
    };

    bool is_measured(const steering::waiting_request& request) const {
        return request.token >= FLAGS_requests / 2;
    }

    base::duration needed() const { return m_pool.typical_latency().value_or(base::duration::zero()); }

    void arrive(const steering::waiting_request& request) {
        if (m_queue.size() == 0) {
            if (const auto server = m_pool.reserve(m_now)) {
                dispatch(request, *server);
                return;
            }
        }
        const auto answer = m_queue.offer(request, m_pool.usable_slots(m_now), m_pool.typical_latency(),
                                          m_now, m_pool.tail_latency());
        if (answer.verdict != steering::admission_verdict::queued) {
            m_counts.refused += is_measured(request) ? 1 : 0;
        }
        serve_queue();
    }

    void serve_queue() {
        for (const auto& expired : m_queue.take_expired(m_now, needed())) {
            m_counts.expired_in_queue += is_measured(expired) ? 1 : 0;
        }
        while (m_queue.size() > 0) {
            const auto server = m_pool.reserve(m_now);
            if (!server) {
                return;
            }
            dispatch(*m_queue.take(m_now, needed()), *server);
        }
    }

    void dispatch(const steering::waiting_request& request, steering::server_handle server) {
        std::exponential_distribution<double> service(1000.0 / FLAGS_service_ms);
        base::duration time = from_seconds(service(m_random));
        auto kind = steering::completion_kind::answered;
        if (server.index == 0 && m_fault == fault::slow_server) {
            time = from_seconds(base::to_seconds(time) * FLAGS_slow_factor);
        }
        if (server.index == 0 && m_fault == fault::failing_server) {
            time = fast_error_time;
            kind = steering::completion_kind::failed;
        }
        if (m_fault == fault::contention) {
            const double others = static_cast<double>(m_in_flight[server.index]) / (FLAGS_slots - 1.0);
            time = from_seconds(base::to_seconds(time) * (1.0 + FLAGS_contention * others));
        }
        ++m_in_flight[server.index];
        base::time_point ends = m_now + time;
        if (ends > request.deadline) {
            ends = std::max(m_now, request.deadline);
            kind = steering::completion_kind::timed_out;
        }
        m_running.push({ends, m_now, kind, server, request});
    }

    void complete_until(base::time_point end) {
        while (!m_running.empty() && m_running.top().ends <= end) {
            const running_request completed = m_running.top();
            m_running.pop();
            m_now = completed.ends;
            --m_in_flight[completed.server.index];
            m_pool.complete(completed.server, completed.kind, completed.ends - completed.started, m_now);
            m_queue.record_completion(m_now);
            m_answered_in_period += completed.kind == steering::completion_kind::answered ? 1 : 0;
            if (is_measured(completed.request)) {
                count_outcome(completed);
            }
            serve_queue();
        }
    }

    void count_outcome(const running_request& completed) {
        switch (completed.kind) {
        case steering::completion_kind::answered:
            ++m_counts.answered;
            m_counts.latencies_ms.push_back(1000.0 *
                                            base::to_seconds(completed.ends - completed.request.enqueued_at));
            break;
        case steering::completion_kind::timed_out:
            ++m_counts.timed_out;
            break;
        default:
            ++m_counts.failed;
            break;
        }
    }

    Pool m_pool;
    Queue m_queue;
    double m_load;
    fault m_fault;
    std::mt19937_64 m_random;
    base::time_point m_now{std::chrono::seconds{1000}};
    std::priority_queue<running_request, std::vector<running_request>, std::greater<>> m_running;
    std::vector<std::uint32_t> m_in_flight; // of each server
    std::uint64_t m_answered_in_period = 0;
    outcome_counts m_counts;
};

double percentile(std::vector<double>& values, double share) {
    if (values.empty()) {
        return 0.0;
    }
    const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

void print(std::string_view rule, double load, outcome_counts counts) {
    const std::uint32_t measured_arrivals = FLAGS_requests - FLAGS_requests / 2;
    const double arrivals = measured_arrivals;
    const double capacity = counts.seconds * FLAGS_servers * FLAGS_slots / (FLAGS_service_ms / 1000.0);
    const auto percent = [](std::uint64_t part, double whole) {
        return 100.0 * static_cast<double>(part) / whole;
    };
    fmt::print(
        "{:>4.1f} {:<16} {:>9.2f} {:>9.2f} {:>8.2f} {:>8.3f} {:>8.2f} {:>8.2f} {:>8.1f} {:>8.1f} {:>8.1f}\n",
        load, rule, percent(counts.answered, arrivals), percent(counts.answered_in_period, capacity),
        percent(counts.refused, arrivals), percent(counts.expired_in_queue, arrivals),
        percent(counts.timed_out, arrivals), percent(counts.failed, arrivals),
        percentile(counts.latencies_ms, 0.5), percentile(counts.latencies_ms, 0.99),
        percentile(counts.latencies_ms, 0.999));
}

template <class Queue>
void run_baseline(std::string_view name, baseline_rule rule, double load, fault injected) {
    print(name, load, experiment<baseline_pool, Queue>({rule, FLAGS_seed + 1}, load, injected).run());
}

void run_scenario(std::string_view title, fault injected) {
    fmt::print("\n{}: {} servers x {} slots, service {} ms, deadline {} ms\n", title, FLAGS_servers,
               FLAGS_slots, FLAGS_service_ms, FLAGS_deadline_ms);
    fmt::print(
        "load rule             in time%  of cap.%  refused%  expired% timeout%  failed%   p50 ms   p99 ms "
        " p99.9 ms\n");
    for (const double load : {0.5, 0.8, 1.0, 1.3, 2.0}) {
        using pool = steering::server_pool<>;
        print("server_pool", load,
              experiment<pool, steering::admission_queue>(pool({}, std::mt19937_64{FLAGS_seed + 1}), load,
                                                          injected)
                  .run());
        run_baseline<steering::admission_queue>("least in flight", baseline_rule::least_in_flight, load,
                                                injected);
        run_baseline<steering::admission_queue>("round robin", baseline_rule::round_robin, load, injected);
        run_baseline<steering::admission_queue>("random", baseline_rule::random_choice, load, injected);
        run_baseline<fifo_queue>("least, FIFO q.", baseline_rule::least_in_flight, load, injected);
    }
}

} // namespace
} // namespace carawayway::bench

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using carawayway::bench::fault;
    carawayway::bench::run_scenario("all servers equal", fault::none);
    carawayway::bench::run_scenario("service slows with load", fault::contention);
    carawayway::bench::run_scenario("one slow server", fault::slow_server);
    carawayway::bench::run_scenario("one server that fails fast", fault::failing_server);
    return 0;
}
