// Checks each rule in a separate pass over the events in time order.
#include "Tests/support/history_checker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <set>
#include <tuple>

namespace carawayway::test_support {

namespace {

using violations = std::vector<violation>;
using times = std::vector<base::time_point>;

// Calls `handle` with the time and content of each event of type Content.
template <class Content, class Handle>
void for_each(const history& events, Handle handle) {
    for (const auto& item : events) {
        if (const auto* content = std::get_if<Content>(&item.content)) {
            handle(item.time, *content);
        }
    }
}

bool ends_execution(const event& item) {
    return std::holds_alternative<execution_finished>(item.content) ||
           std::holds_alternative<execution_cancelled>(item.content) ||
           std::holds_alternative<server_stopped>(item.content);
}

// Sorts by time. At equal times, ends precede starts because a freed slot can be reused immediately. An
// execution whose start and end have the same time would count as still running; timestamps in nanoseconds
// rule this out.
void sort_by_time(history& events) {
    std::stable_sort(events.begin(), events.end(), [](const event& left, const event& right) {
        if (left.time != right.time) {
            return left.time < right.time;
        }
        return ends_execution(left) && !ends_execution(right);
    });
}

void check_executed_at_most_once(const history& events, violations& found) {
    std::set<std::string> non_idempotent;
    for_each<caller_sent>(events, [&](base::time_point /*time*/, const caller_sent& sent) {
        if (sent.semantics == config::request_semantics::non_idempotent) {
            non_idempotent.insert(sent.id);
        }
    });
    std::map<std::string, std::string> first_server;
    for_each<execution_started>(events, [&](base::time_point time, const execution_started& started) {
        const auto [first, is_first] = first_server.try_emplace(started.id, started.server);
        if (!is_first && non_idempotent.contains(started.id)) {
            found.push_back(
                {history_rule::executed_at_most_once, time,
                 fmt::format("id={} server={} first_server={}", started.id, started.server, first->second)});
        }
    });
}

void check_not_executed_is_true(const history& events, violations& found) {
    std::map<std::pair<std::string, body_hash>, std::string> started_on;
    for_each<execution_started>(events, [&](base::time_point /*time*/, const execution_started& started) {
        started_on.emplace(std::pair{started.id, started.content}, started.server);
    });
    for_each<caller_answered>(events, [&](base::time_point time, const caller_answered& answer) {
        const auto started = started_on.find({answer.id, answer.content});
        if (answer.execution == base::execution_state::not_executed && started != started_on.end()) {
            found.push_back({history_rule::not_executed_is_true, time,
                             fmt::format("id={} server={}", answer.id, started->second)});
        }
    });
}

void check_answers(const history& events, violations& found) {
    using execution = std::pair<std::string, std::string>; // request ID and server
    std::map<execution, std::set<body_hash>> bodies;
    for_each<execution_finished>(events, [&](base::time_point /*time*/, const execution_finished& finished) {
        bodies[{finished.id, finished.server}].insert(finished.body);
    });
    // Request ID, request content and answer body of every complete answer of a server.
    std::set<std::tuple<std::string, body_hash, body_hash>> complete_answers;
    for_each<execution_started>(events, [&](base::time_point /*time*/, const execution_started& started) {
        for (const auto body : bodies[{started.id, started.server}]) {
            complete_answers.emplace(started.id, started.content, body);
        }
    });
    for_each<caller_answered>(events, [&](base::time_point time, const caller_answered& answer) {
        if (answer.execution == base::execution_state::executed &&
            !complete_answers.contains({answer.id, answer.content, answer.body})) {
            found.push_back({history_rule::answer_belongs_to_request, time,
                             fmt::format("id={} body={}", answer.id, answer.body)});
        }
    });
}

// Counts the running executions and compares them with the capacity of servers and regions.
class execution_counter {
public:
    execution_counter(const history_limits& limits, violations& found) : m_limits(limits), m_found(found) {}

    void operator()(base::time_point time, const execution_started& started) {
        m_running[started.server].emplace(started.id, started.region);
        ++m_in_region[started.region];
        check_limit(history_rule::server_capacity, time, started.server, m_running[started.server].size(),
                    m_limits.server_slots);
        check_limit(history_rule::region_capacity, time, started.region, m_in_region[started.region],
                    m_limits.region_capacity);
    }

    void operator()(base::time_point /*time*/, const execution_finished& finished) {
        end(finished.server, finished.id);
    }

    void operator()(base::time_point /*time*/, const execution_cancelled& cancelled) {
        end(cancelled.server, cancelled.id);
    }

    void operator()(base::time_point /*time*/, const server_stopped& stopped) {
        for (const auto& [id, region] : m_running[stopped.server]) {
            --m_in_region[region];
        }
        m_running.erase(stopped.server);
    }

    template <class Other>
    void operator()(base::time_point /*time*/, const Other& /*other*/) {}

private:
    void end(const std::string& server, const std::string& id) {
        auto& running = m_running[server];
        const auto ended = running.find(id);
        if (ended != running.end()) {
            --m_in_region[ended->second];
            running.erase(ended);
        }
    }

    void check_limit(history_rule rule, base::time_point time, const std::string& name, std::size_t count,
                     const std::map<std::string, std::uint32_t>& limits) {
        const auto limit = limits.find(name);
        if (limit != limits.end() && count > limit->second) {
            m_found.push_back(
                {rule, time, fmt::format("name={} count={} limit={}", name, count, limit->second)});
        }
    }

    const history_limits& m_limits;
    violations& m_found;
    // By server: region of each running execution by request ID.
    std::map<std::string, std::multimap<std::string, std::string>> m_running;
    std::map<std::string, std::size_t> m_in_region;
};

void check_capacity(const history& events, const history_limits& limits, violations& found) {
    execution_counter counter(limits, found);
    for (const auto& item : events) {
        std::visit([&](const auto& content) { counter(item.time, content); }, item.content);
    }
}

// Number of times in (end - window, end].
std::size_t count_in_window(const times& sorted, base::time_point end, base::duration window) {
    const auto first = std::upper_bound(sorted.begin(), sorted.end(), end - window);
    const auto last = std::upper_bound(sorted.begin(), sorted.end(), end);
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(last - first, 0));
}

// Returns a baseline for each move. The baseline of a move at time t is the highest number of moves in any
// window that ends between t - 2 * window and t - window.
std::vector<std::size_t> baseline_counts(const times& moved, const std::vector<std::size_t>& counts,
                                         base::duration window) {
    std::vector<std::size_t> baselines;
    baselines.reserve(moved.size());
    std::deque<std::size_t> candidates; // indices in descending order of counts; the first has the highest
    std::size_t next = 0;
    for (const auto time : moved) {
        for (; moved[next] <= time - window; ++next) {
            while (!candidates.empty() && counts[candidates.back()] <= counts[next]) {
                candidates.pop_back();
            }
            candidates.push_back(next);
        }
        while (!candidates.empty() && moved[candidates.front()] < time - 2 * window) {
            candidates.pop_front();
        }
        const auto highest = candidates.empty() ? 0 : counts[candidates.front()];
        baselines.push_back(std::max(highest, count_in_window(moved, time - 2 * window, window)));
    }
    return baselines;
}

struct moved_traffic {
    times moved;
    times arrived;
};

using service_and_region = std::pair<std::string, std::string>;

void check_share_cap(const service_and_region& key, const moved_traffic& traffic,
                     const config::shift_cap& cap, const history_limits& limits, violations& found) {
    std::vector<std::size_t> counts;
    counts.reserve(traffic.moved.size());
    for (const auto time : traffic.moved) {
        counts.push_back(count_in_window(traffic.moved, time, cap.window));
    }
    const auto baselines = baseline_counts(traffic.moved, counts, cap.window);
    const auto rate = limits.reference_rates.find(key);
    for (std::size_t index = 0; index < counts.size(); ++index) {
        const auto time = traffic.moved[index];
        const double reference_count =
            rate != limits.reference_rates.end()
                ? rate->second * base::to_seconds(cap.window)
                : static_cast<double>(count_in_window(traffic.arrived, time, cap.window));
        const double minimum_allowance = cap.share > 0 ? limits.receiving_entries : 0;
        const double allowed =
            static_cast<double>(baselines[index]) + std::max(cap.share * reference_count, minimum_allowance);
        constexpr double rounding_slack = 1e-6;
        if (static_cast<double>(counts[index]) > allowed + rounding_slack) {
            found.push_back({history_rule::shift_cap, time,
                             fmt::format("service={} home_region={} moved={} allowed={}", key.first,
                                         key.second, counts[index], allowed)});
        }
    }
}

void check_absolute_cap(const std::string& service, const times& moved, const config::shift_cap& cap,
                        const history_limits& limits, violations& found) {
    const double allowed = std::max(cap.requests_per_second.value_or(0) * base::to_seconds(cap.window),
                                    static_cast<double>(limits.receiving_entries));
    for (const auto time : moved) {
        const auto count = count_in_window(moved, time, cap.window);
        if (static_cast<double>(count) > allowed) {
            found.push_back({history_rule::shift_cap, time,
                             fmt::format("service={} moved={} allowed={}", service, count, allowed)});
        }
    }
}

void check_shift_caps(const history& events, const history_limits& limits, violations& found) {
    std::map<service_and_region, moved_traffic> by_region;
    std::map<std::string, times> by_service;
    for_each<request_arrived>(events, [&](base::time_point time, const request_arrived& arrived) {
        by_region[{arrived.service, arrived.home_region}].arrived.push_back(time);
    });
    for_each<request_moved>(events, [&](base::time_point time, const request_moved& moved) {
        if (moved.home_region != moved.serving_region) {
            by_region[{moved.service, moved.home_region}].moved.push_back(time);
            by_service[moved.service].push_back(time);
        }
    });
    for (const auto& [service, cap] : limits.shift_caps) {
        for (const auto& [key, traffic] : by_region) {
            if (key.first == service && cap.share < 1) {
                check_share_cap(key, traffic, cap, limits, found);
            }
        }
        if (cap.requests_per_second) {
            check_absolute_cap(service, by_service[service], cap, limits, found);
        }
    }
}

void check_drains(const history& events, base::duration grace, violations& found) {
    std::map<std::string, base::time_point> draining_since;
    for (const auto& item : events) {
        if (const auto* drain = std::get_if<drain_effective>(&item.content)) {
            draining_since.try_emplace(drain->server, item.time);
        } else if (const auto* end = std::get_if<drain_ended>(&item.content)) {
            draining_since.erase(end->server);
        } else if (const auto* started = std::get_if<execution_started>(&item.content)) {
            const auto since = draining_since.find(started->server);
            if (since != draining_since.end() && item.time > since->second + grace) {
                found.push_back({history_rule::no_work_after_drain, item.time,
                                 fmt::format("id={} server={}", started->id, started->server)});
            }
        }
    }
}

void check_revisions(const history& events, violations& found) {
    std::map<std::pair<std::string, std::uint64_t>, std::int64_t> highest;
    for_each<revision_seen>(events, [&](base::time_point time, const revision_seen& seen) {
        auto& revision = highest.try_emplace({seen.entry, seen.incarnation}, seen.revision).first->second;
        if (seen.revision < revision) {
            found.push_back(
                {history_rule::revision_never_reverts, time,
                 fmt::format("entry={} revision={} before={}", seen.entry, seen.revision, revision)});
        }
        revision = std::max(revision, seen.revision);
    });
}

} // namespace

std::vector<violation> check(history events, const history_limits& limits) {
    sort_by_time(events);
    violations found;
    check_executed_at_most_once(events, found);
    check_not_executed_is_true(events, found);
    check_answers(events, found);
    check_capacity(events, limits, found);
    check_shift_caps(events, limits, found);
    check_drains(events, limits.drain_grace, found);
    check_revisions(events, found);
    return found;
}

} // namespace carawayway::test_support
