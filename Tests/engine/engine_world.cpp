// Processes, platform, callers and checks of the simulated deployment.
#include "Tests/engine/engine_world.hpp"

#include "carawayway/base/hash.hpp"
#include "carawayway/base/log.hpp"
#include "carawayway/config/policy_writer.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace carawayway::engine_test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto tick_interval = milliseconds(10);
constexpr auto client_delay = milliseconds(3);
constexpr auto connect_timeout = milliseconds(500);

constexpr std::array<std::string_view, 8> rule_names{"executed-at-most-once",     "not-executed-is-true",
                                                     "answer-belongs-to-request", "server-capacity",
                                                     "region-capacity",           "shift-cap",
                                                     "no-work-after-drain",       "revision-never-reverts"};

} // namespace

std::int64_t elapsed(base::time_point time) {
    return base::to_milliseconds(time.time_since_epoch() - std::chrono::hours(1));
}

std::string domain_of_entry(const std::string& entry) {
    return entry.substr(0, entry.find('-'));
}

std::string region_of_domain(const std::string& domain) {
    return domain.starts_with('n') ? "north" : "south";
}

config::policy base_policy() {
    config::policy result;
    result.change_id = "base";
    result.lookup_lifetime = seconds(2);
    result.regions = {{"north", std::nullopt}, {"south", std::nullopt}};
    result.client_blocks = {{"10.1.0.0/16", "north"}, {"10.2.0.0/16", "south"}};
    result.services.resize(2);
    result.services[0].name = "stock";
    result.services[1].name = "booking";
    result.services[1].semantics = config::request_semantics::non_idempotent;
    for (auto& service : result.services) {
        service.default_timeout = milliseconds(1000);
        service.maximum_timeout = milliseconds(1500);
        service.warm_up = milliseconds(200);
        service.cap = {0.2, seconds(2), std::nullopt};
    }
    int port = 8000;
    for (const auto& domain : domain_names) {
        result.failure_domains.push_back({domain, region_of_domain(domain)});
        for (const auto& service : result.services) {
            for (const auto* suffix : {"1", "2"}) {
                result.servers.push_back({service.name + "-" + domain + "-" + suffix, service.name, domain,
                                          fmt::format("127.0.0.1:{}", ++port), 3});
            }
        }
    }
    return result;
}

engine_world::engine_world(std::uint64_t seed, config::policy policy, engine::engine_limits limits)
    : m_random(seed), m_servers(m_events, m_random, m_history), m_policy(std::move(policy)),
      m_limits(limits) {
    base::set_log_level(base::log_level::error);
    std::uint16_t port = 7000;
    for (const auto& name : entry_names) {
        auto& record = m_processes[name].record;
        record.name = name;
        record.failure_domain = domain_of_entry(name);
        record.region = region_of_domain(record.failure_domain);
        record.caller_address = {"127.0.0.1", ++port};
        record.peer_address = {"127.0.0.1", ++port};
    }
    for (const auto& server : m_policy.servers) {
        m_servers.add(server, region_of_domain(server.failure_domain));
        m_check_limits.server_slots[server.name] = server.slots;
    }
    for (const auto& region : m_policy.regions) {
        if (region.capacity) {
            m_check_limits.region_capacity[region.name] = *region.capacity;
        }
    }
    for (const auto& service : m_policy.services) {
        for (const auto& name : entry_names) {
            m_check_limits.shift_caps[service.name + " at " + name] = service.cap;
        }
    }
    m_servers.on_start([this](const std::string& server, const engine::start_attempt& attempt) {
        static_cast<void>(attempt);
        report_step(step::awaiting_answer, m_last_user[server], server);
    });
    m_servers.on_response([this](const std::string& server, const engine::start_attempt&) {
        report_step(step::relaying_answer, m_last_user[server], server);
    });
    put_policy(m_policy);
    maintain_links();
}

void engine_world::report_step(step value, const std::string& entry, const std::string& server) {
    if (m_on_step) {
        m_on_step(value, entry, server);
    }
}

void engine_world::start_entry(const std::string& name) {
    auto& instance = m_processes.at(name);
    for (const auto& peer : entry_names) {
        if (peer != name) {
            drop_link(name, peer); // a link of the previous incarnation, whose end peers may not have noticed
        }
    }
    instance.record.incarnation = m_random();
    instance.metrics = std::make_unique<metrics::metric_registry>(1000);
    instance.engine = std::make_unique<entry_engine>(
        engine::engine_identity{name, instance.record.failure_domain, instance.record.region,
                                instance.record.incarnation, now()},
        instance.record, engine::control_settings{}, m_limits, m_random(), *instance.metrics, now());
    for (const auto& [peer, other] : m_processes) {
        if (peer != name) {
            auto seed = other.record;
            seed.incarnation = 0;
            instance.engine->add_seed(seed, now());
        }
    }
    if (!instance.interruptions.empty()) {
        // A new incarnation does not know the rates of lost regions and uses its own arrivals as the
        // reference, which the history does not contain. The sum over all entry instances is still checked.
        std::erase_if(m_check_limits.shift_caps,
                      [&name](const auto& item) { return item.first.ends_with(" at " + name); });
    }
    instance.state = process_state::running;
    instance.host = host_state::up;
    instance.published_revision = 0;
    instance.watch = engine::store_watch::off;
    instance.calls.clear();
    end_interruption(instance);
    instance.tick_sequence = ++m_last_number;
    tick(name, instance.tick_sequence);
}

void engine_world::begin_interruption(process& instance) {
    instance.interruptions.emplace_back(now(), base::time_point::max());
}

void engine_world::end_interruption(process& instance) {
    if (!instance.interruptions.empty()) {
        instance.interruptions.back().second = now();
    }
}

bool engine_world::was_interrupted(const std::string& name, base::time_point from,
                                   base::time_point until) const {
    const auto& intervals = m_processes.at(name).interruptions;
    return std::any_of(intervals.begin(), intervals.end(), [&](const auto& interval) {
        return interval.first <= until && interval.second >= from;
    });
}

void engine_world::kill_entry(const std::string& name, host_state host) {
    auto& instance = m_processes.at(name);
    if (instance.state == process_state::dead) {
        return;
    }
    if (instance.state == process_state::running) {
        begin_interruption(instance);
    }
    instance.state = process_state::dead;
    instance.host = host;
    instance.inbox.clear();
    for (const auto& [attempt, open] : std::exchange(instance.attempts, {})) {
        m_servers.close(open.connection);
    }
    instance.calls.clear();
    // The connections of callers break. Callers notice at once if the host is up, and by their timeout
    // otherwise.
    for (const auto& [token, handler] : std::exchange(instance.callers, {})) {
        m_events.after(host == host_state::up ? client_delay : milliseconds(1500),
                       [handler = handler] { handler(nullptr); });
    }
    for (const auto& peer : entry_names) {
        if (peer != name && link_of(name, peer).up && host == host_state::up && !blocked(name, peer)) {
            lose_link(name, peer);
        }
    }
}

void engine_world::pause_entry(const std::string& name) {
    auto& instance = m_processes.at(name);
    if (instance.state == process_state::running) {
        instance.state = process_state::paused;
        begin_interruption(instance);
    }
}

// Events that arrived during the pause are handled before the next tick, while the process has not noticed
// the pause yet.
void engine_world::resume_entry(const std::string& name) {
    auto& instance = m_processes.at(name);
    if (instance.state != process_state::paused) {
        return;
    }
    instance.state = process_state::running;
    end_interruption(instance);
    for (const auto& peer : entry_names) {
        if (peer != name) {
            link_of(name, peer).last_heard[name] = now();
        }
    }
    for (const auto& work : std::exchange(instance.inbox, {})) {
        run(instance, work);
    }
    instance.tick_sequence = ++m_last_number;
    tick(name, instance.tick_sequence);
}

void engine_world::stop_entry(const std::string& name) {
    post({}, name, [this](entry_engine& engine, effects& out) { engine.begin_stop(now(), out); });
}

std::string engine_world::owner(const std::string& server) const {
    for (const auto& [name, instance] : m_processes) {
        if (instance.state != process_state::dead && instance.engine->ownership().owns(server, now())) {
            return name;
        }
    }
    return {};
}

void engine_world::post(base::duration delay, const std::string& name, engine_action work) {
    const auto incarnation = m_processes.at(name).record.incarnation;
    m_events.after(delay, [this, name, incarnation, work = std::move(work)]() mutable {
        auto& instance = m_processes.at(name);
        if (instance.record.incarnation == incarnation) {
            deliver(instance, std::move(work));
        }
    });
}

void engine_world::deliver(process& instance, engine_action work) {
    if (instance.state == process_state::paused) {
        instance.inbox.push_back(std::move(work));
    } else if (instance.state == process_state::running) {
        run(instance, work);
    }
}

void engine_world::run(process& instance, const engine_action& work) {
    effects out;
    work(*instance.engine, out);
    for (auto& effect : out) {
        std::visit([this, &instance](auto& specific) { carry_out(instance, specific); }, effect);
    }
}

void engine_world::tick(const std::string& name, std::uint64_t tick_sequence) {
    auto& instance = m_processes.at(name);
    if (instance.state != process_state::running || instance.tick_sequence != tick_sequence) {
        return;
    }
    run(instance, [this](entry_engine& engine, effects& out) { engine.tick(now(), out); });
    if (instance.engine->state() == engine::run_state::stopped) {
        kill_entry(name); // the process exits
        return;
    }
    m_events.after(tick_interval, [this, name, tick_sequence] { tick(name, tick_sequence); });
}

// Platform.

void engine_world::notify_watchers(void (engine_world::*notify)(const std::string&)) {
    for (const auto& name : entry_names) {
        (this->*notify)(name);
    }
}

void engine_world::send_policy_to_watcher(const std::string& name) {
    const auto& instance = m_processes.at(name);
    const bool watches = instance.state != process_state::dead && instance.watch == engine::store_watch::on;
    if (watches && m_platform_up && !blocked(name, "platform")) {
        deliver_policy(name, m_revision, m_document);
    }
}

void engine_world::deliver_policy(const std::string& entry, std::int64_t revision, std::string document) {
    post(m_platform_lag, entry,
         [this, revision, document = std::move(document)](entry_engine& engine, effects& out) {
             engine.policy_read(revision, document, now(), out);
         });
}

void engine_world::send_instance_list_to_watcher(const std::string& name) {
    const auto& instance = m_processes.at(name);
    const bool watches = instance.state != process_state::dead && instance.watch == engine::store_watch::on;
    if (!watches || !m_platform_up || blocked(name, "platform")) {
        return;
    }
    std::vector<engine::instance_record> records;
    for (const auto& server : m_policy.servers) {
        const auto found = m_instances.find(server.name);
        records.push_back({server.service, server.address,
                           found == m_instances.end() ? engine::instance_state::live : found->second});
    }
    post(m_platform_lag, name,
         [this, records](entry_engine& engine, effects& out) { engine.instances_read(records, now(), out); });
}

void engine_world::put_policy(const config::policy& policy) {
    m_policy = policy;
    store_unchecked(config::to_ini(policy));
}

void engine_world::store_unchecked(std::string document) {
    ++m_revision;
    m_document = std::move(document);
    notify_watchers(&engine_world::send_policy_to_watcher);
}

void engine_world::set_instance_state(const std::string& server, engine::instance_state state) {
    m_instances[server] = state;
    if (state == engine::instance_state::leaving) {
        record(test_support::drain_effective{server});
    } else {
        record(test_support::drain_ended{server});
    }
    notify_watchers(&engine_world::send_instance_list_to_watcher);
}

void engine_world::platform_up() {
    m_platform_up = true;
    m_platform_lag = milliseconds(5);
    notify_watchers(&engine_world::send_policy_to_watcher);
    notify_watchers(&engine_world::send_instance_list_to_watcher);
}

// Callers.

engine::lookup_response engine_world::lookup(const std::string& entry, const std::string& service,
                                             const std::string& client) {
    report_step(step::look_up, entry);
    return m_processes.at(entry).engine->lookup(service, client, now());
}

void engine_world::submit(const std::string& entry, engine::service_request request,
                          response_handler handler) {
    auto shared = std::make_shared<const engine::service_request>(std::move(request));
    m_events.after(client_delay, [this, entry, shared, handler = std::move(handler)] {
        auto& instance = m_processes.at(entry);
        if (instance.state == process_state::dead) {
            m_events.after(instance.host == host_state::up ? client_delay : connect_timeout,
                           [handler] { handler(nullptr); });
            return;
        }
        const std::uint64_t token = ++m_last_number;
        instance.callers[token] = handler;
        deliver(instance, [this, entry, token, shared](entry_engine& engine, effects& out) {
            report_step(step::admission, entry);
            const auto before = out.size();
            engine.caller_request(token, shared, now(), out);
            const bool placed =
                std::any_of(out.begin() + static_cast<std::ptrdiff_t>(before), out.end(),
                            [](const engine::effect& effect) {
                                return !std::holds_alternative<engine::broadcast_to_peers>(effect);
                            });
            if (!placed) {
                report_step(step::queue, entry);
            }
        });
    });
}

void engine_world::set_reference_rate(const std::string& service, const std::string& home,
                                      double per_second) {
    m_rates[{service, home}] = per_second;
    for (const auto& name : entry_names) {
        m_check_limits.reference_rates[{fmt::format("{} at {}", service, name), home}] =
            per_second / static_cast<double>(entry_names.size());
    }
}

// The history checker covers each entry instance alone, since each compares with its own earlier windows. The
// sum over all entry instances is checked here: it may rise by at most one step per window since the first
// move.
void engine_world::check_moves(std::vector<std::string>& lines) const {
    for (const auto& [key, rate] : m_rates) {
        const auto& cap = m_policy.find_service(key.first)->cap;
        std::vector<base::time_point> times;
        base::time_point first;
        for (const auto& item : m_moves) {
            if (item.service != key.first || item.home != key.second) {
                continue;
            }
            if (times.empty() || item.time - times.back() > 2 * cap.window) {
                first = item.time;
            }
            times.push_back(item.time);
            const auto begin = std::upper_bound(times.begin(), times.end(), item.time - cap.window);
            const auto steps = static_cast<double>(1 + (item.time - first) / cap.window);
            const double step = std::max(cap.share * rate * base::to_seconds(cap.window),
                                         cap.share > 0 ? static_cast<double>(entry_names.size()) : 0.0);
            if (static_cast<double>(times.end() - begin) > steps * step) {
                lines.push_back(fmt::format(
                    "all entries moved {} requests of {} from {} at {} ms, allowed {}", times.end() - begin,
                    key.first, key.second, elapsed(item.time), steps * step));
            }
        }
    }
}

std::vector<std::string> engine_world::violations() const {
    std::vector<std::string> lines = m_direct_violations;
    check_moves(lines);
    for (const auto& found : test_support::check(m_history, m_check_limits)) {
        lines.push_back(fmt::format(
            "{} at {} ms: {}", rule_names.at(static_cast<std::size_t>(found.rule)),
            base::to_milliseconds(found.time.time_since_epoch() - std::chrono::hours(1)), found.detail));
    }
    return lines;
}

} // namespace carawayway::engine_test
