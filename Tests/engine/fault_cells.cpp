// The tables of faults and steps, and the run of a cell.
#include "Tests/engine/fault_cells.hpp"

#include "carawayway/config/policy_writer.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace carawayway::engine_test {

namespace {

using base::execution_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t steady_rate = 20; // requests per second for each service and home region
constexpr std::uint32_t burst_rate = 300;
constexpr auto warm_up = seconds(5);
constexpr auto steady_time = seconds(6); // long enough for the rates of the regions to be known
constexpr auto step_limit = seconds(8);  // the run has to reach the step within this time
constexpr auto probe_time = seconds(2);
constexpr auto settle_time = seconds(6); // after the last request

void no_preparation(engine_world&, callers&) {}
void no_restoration(engine_world&) {}
void no_end(engine_world&, const fault_target&) {}

template <measurement Value>
void set_measurements(engine_world& world, callers&, const fault_target&) {
    world.set_measurements(Value);
    if (Value == measurement::falsified) {
        for (const auto& server : world.policy().servers) {
            world.servers().set_behaviour(server.name, server_behaviour::misreporting);
        }
    }
}

void restore_normal_behaviour(engine_world& world, const fault_target&) {
    world.set_measurements(measurement::normal);
    for (const auto& server : base_policy().servers) {
        world.servers().set_behaviour(server.name, server_behaviour::normal);
    }
}

template <host_state Host>
void kill(engine_world& world, callers&, const fault_target& target) {
    world.kill_entry(target.entry, Host);
}

void restart(engine_world& world, const fault_target& target) {
    if (world.state(target.entry) == process_state::dead) {
        world.start_entry(target.entry);
    }
}

void pause(engine_world& world, callers&, const fault_target& target) {
    world.pause_entry(target.entry);
}

void resume(engine_world& world, const fault_target& target) {
    world.resume_entry(target.entry);
}

void kill_server(engine_world& world, callers&, const fault_target& target) {
    world.servers().kill(target.server);
}

void start_server(engine_world& world, const fault_target& target) {
    world.servers().start(target.server);
}

template <server_behaviour Behaviour>
void set_behaviour(engine_world& world, callers&, const fault_target& target) {
    world.servers().set_behaviour(target.server, Behaviour);
}

void platform_down(engine_world& world, callers&, const fault_target&) {
    world.platform_down();
}

void platform_slow(engine_world& world, callers&, const fault_target&) {
    world.platform_lag(seconds(2));
}

void platform_up(engine_world& world, const fault_target&) {
    world.platform_up();
}

// A writer whose reply was lost writes the same document again. A read of the old document arrives after
// both.
void write_twice(engine_world& world, callers&, const fault_target&) {
    const auto old_revision = world.revision();
    const std::string old_document = config::to_ini(world.policy());
    auto policy = world.policy();
    policy.comment = "written twice";
    world.put_policy(policy);
    world.put_policy(policy);
    world.platform_lag(milliseconds(400));
    for (const auto& name : entry_names) {
        world.deliver_policy(name, world.revision(), config::to_ini(policy));
        world.deliver_policy(name, old_revision, old_document);
    }
}

// Two operators write concurrently; a third writer bypasses the checks.
void write_conflicting(engine_world& world, callers&, const fault_target&) {
    auto one = world.policy();
    auto other = world.policy();
    one.comment = "one";
    other.comment = "other";
    world.put_policy(one);
    world.platform_lag(milliseconds(200));
    world.put_policy(other);
    world.store_unchecked("[service");
    world.platform_lag(milliseconds(5));
    world.put_policy(one);
}

void cut_from_domain(engine_world& world, callers&, const fault_target&) {
    world.cut_domain("n1", {"n2"});
}

void cut_from_platform(engine_world& world, callers&, const fault_target&) {
    world.cut_domain("n1", {"platform"});
}

void cut_from_all(engine_world& world, callers&, const fault_target&) {
    world.cut_domain("n1", {"n2", "s1", "platform"});
}

void cut_one_way(engine_world& world, callers&, const fault_target&) {
    world.block("n1-a", "n2-a");
    world.block("n1-b", "n2-a");
}

void heal(engine_world& world, const fault_target&) {
    world.heal();
}

void drop_links(engine_world& world, callers&, const fault_target& target) {
    for (const auto& peer : entry_names) {
        if (peer != target.entry) {
            world.drop_link(target.entry, peer);
        }
    }
}

void lose_region(engine_world& world, callers&, const fault_target&) {
    world.kill_entry("s1-a", host_state::down);
    for (const auto& server : base_policy().servers) {
        if (server.failure_domain == "s1") {
            world.servers().kill(server.name);
        }
    }
}

void restore_region(engine_world& world, const fault_target&) {
    for (const auto& server : base_policy().servers) {
        world.servers().start(server.name);
    }
    if (world.state("s1-a") == process_state::dead) {
        world.start_entry("s1-a");
    }
}

void send_crash_content(engine_world& world, callers& callers, const fault_target& target) {
    for (int round = 0; round < 3; ++round) {
        for (std::size_t index = 0; index < entry_names.size(); ++index) {
            const auto at = milliseconds(300) * static_cast<std::int64_t>(round * entry_names.size() + index);
            const std::string entry = round == 0 && index == 0 ? target.entry : entry_names[index];
            world.events().after(at, [&callers, entry] {
                callers.call({.entry = entry, .body = crash_content, .resends = 3});
            });
        }
    }
}

// Steps.

void send_burst(engine_world& world, callers& callers) {
    callers.load({.resends = 2}, burst_rate, seconds(1));
    world.set_reference_rate("booking", "north", steady_rate + burst_rate);
}

void use_distant_entry(engine_world&, callers& callers) {
    callers.load({.entry = "s1-a", .resends = 2}, steady_rate, seconds(4));
}

void write_policy(engine_world& world, callers&) {
    auto policy = world.policy();
    policy.comment = "changed";
    world.put_policy(policy);
}

void write_policy_one_cannot_read(engine_world& world, callers& callers) {
    world.cut_domain("s1", {"platform"});
    write_policy(world, callers);
}

void heal_platform(engine_world& world) {
    world.heal();
}

void drain_servers(engine_world& world, callers&) {
    auto policy = world.policy();
    const auto server = std::find_if(policy.servers.begin(), policy.servers.end(),
                                     [](const auto& item) { return item.name == "booking-n1-1"; });
    server->state = config::administrative_state::draining;
    world.put_policy(policy);
    world.set_instance_state("stock-n1-2", engine::instance_state::leaving);
}

void kill_entry_of_same_domain(engine_world& world, callers&) {
    world.kill_entry("n1-b");
}

void restart_entry_of_same_domain(engine_world& world) {
    restart(world, {"n1-b", ""});
}

void lose_southern_entry(engine_world& world, callers&) {
    world.kill_entry("s1-a", host_state::down);
}

void restart_southern_entry(engine_world& world) {
    restart(world, {"s1-a", ""});
}

} // namespace

const std::vector<fault>& faults() {
    using enum service_during;
    static const std::vector<fault> table{
        {"measurements stop", set_measurements<measurement::stopped>, restore_normal_behaviour, seconds(3),
         seconds(1)},
        {"measurements lag", set_measurements<measurement::lagging>, restore_normal_behaviour, seconds(3),
         seconds(1), all},
        {"measurements lie", set_measurements<measurement::falsified>, restore_normal_behaviour, seconds(3),
         seconds(1)},
        {"entry killed and restarted", kill<host_state::up>, restart, seconds(2), seconds(8)},
        {"entry lost with its host", kill<host_state::down>, restart, seconds(2), seconds(8)},
        {"entry paused shortly", pause, resume, milliseconds(700), seconds(8)},
        {"entry paused beyond its ownership", pause, resume, seconds(9), seconds(8)},
        {"server killed", kill_server, start_server, seconds(2), seconds(5)},
        {"server stalls", set_behaviour<server_behaviour::stalled>, restore_normal_behaviour, seconds(2),
         seconds(5)},
        {"server answers late", set_behaviour<server_behaviour::late>, restore_normal_behaviour, seconds(2),
         seconds(5)},
        {"answers crossed", set_behaviour<server_behaviour::mismatched>, restore_normal_behaviour, seconds(2),
         seconds(5)},
        {"answers cut short", set_behaviour<server_behaviour::truncated>, restore_normal_behaviour,
         seconds(2), seconds(5)},
        {"server sheds load", set_behaviour<server_behaviour::refusing>, restore_normal_behaviour, seconds(2),
         seconds(5)},
        {"platform down", platform_down, platform_up, seconds(3), seconds(1), all},
        {"platform slow", platform_slow, platform_up, seconds(3), seconds(1), all},
        {"reply lost after a write", write_twice, platform_up, seconds(1), seconds(1), all},
        {"conflicting policies", write_conflicting, no_end, seconds(1), seconds(1), all},
        {"domain cut from a domain", cut_from_domain, heal, seconds(3), seconds(8), some, fault_scope::cut},
        {"domain cut from the platform", cut_from_platform, heal, seconds(3), seconds(1), all},
        {"domain cut from all", cut_from_all, heal, seconds(3), seconds(8), some, fault_scope::cut},
        {"one-way cut", cut_one_way, heal, seconds(3), seconds(8), some, fault_scope::cut},
        {"links lost with messages on the way", drop_links, no_end, seconds(1), seconds(3)},
        {"region lost", lose_region, restore_region, seconds(3), seconds(8)},
        {"crash-causing request resent", send_crash_content, no_end, seconds(5), seconds(8)},
    };
    return table;
}

const std::vector<step_plan>& steps() {
    using enum service_during;
    static const std::vector<step_plan> table{
        {step::look_up, "look-up", no_preparation, no_restoration, all, {}},
        {step::admission, "admission", no_preparation, no_restoration, all, {}},
        {step::queue, "queue", send_burst, no_restoration, some, {}},
        {step::dispatch, "dispatch", no_preparation, no_restoration, all, {}},
        {step::awaiting_answer, "awaiting the answer", no_preparation, no_restoration, all, {}},
        {step::relaying_answer, "relaying the answer", no_preparation, no_restoration, all, {}},
        {step::passing_to_peer, "passing to a peer", use_distant_entry, no_restoration, all, {}},
        {step::policy_apply, "policy applied", write_policy, no_restoration, all, {}},
        {step::policy_spread, "policy spreading", write_policy_one_cannot_read, heal_platform, all, {}},
        {step::drain, "drain", drain_servers, no_restoration, all, {}},
        {step::takeover, "takeover", kill_entry_of_same_domain, restart_entry_of_same_domain, some,
         seconds(8)},
        {step::shift, "shift", lose_southern_entry, restart_southern_entry, some, seconds(8)},
    };
    return table;
}

namespace {

class cell_run {
public:
    cell_run(const fault& kind, const step_plan& plan, std::uint64_t seed,
             const std::optional<second_fault>& second)
        : m_fault(kind), m_step(plan), m_second(second), m_world(seed) {}

    std::vector<std::string> run() {
        for (const auto& name : entry_names) {
            m_world.start_entry(name);
        }
        m_world.run_for(warm_up);
        set_rates();
        run_loaded(steady_time, [] { return false; });
        m_world.on_step([this](step value, const std::string& entry, const std::string& server) {
            if (value == m_step.value && !m_reached) {
                m_reached = true;
                // Not at the same time, since the history could not tell which came first.
                m_world.events().after(std::chrono::microseconds(1),
                                       [this, entry, server] { begin(entry, server); });
            }
        });
        m_step.prepare(m_world, m_callers);
        run_loaded(step_limit, [this] { return m_reached; });
        if (!m_reached) {
            return {"the step was not reached"};
        }
        run_loaded(m_length + m_recovery, [] { return false; });
        const auto probes = m_world.now();
        run_loaded(probe_time, [] { return false; });
        m_world.run_for(settle_time);
        return check_results(probes);
    }

private:
    void set_rates() {
        for (const auto* service : {"stock", "booking"}) {
            for (const auto* home : {"north", "south"}) {
                m_world.set_reference_rate(service, home, steady_rate);
            }
        }
    }

    template <class Condition>
    void run_loaded(base::duration limit, Condition done) {
        constexpr auto slice = milliseconds(1000) / steady_rate;
        for (base::duration passed{}; passed < limit && !done(); passed += slice) {
            for (const auto* service : {"stock", "booking"}) {
                for (const auto* home : {"north", "south"}) {
                    m_callers.call({.service = service, .home = home, .resends = 2});
                }
            }
            m_world.run_for(slice);
        }
    }

    // Faults affect the server and entry instance of the step. If the step has none, they are chosen at
    // random.
    fault_target choose_target(const std::string& entry, const std::string& server) {
        fault_target chosen{entry, server};
        const auto& servers = m_world.policy().servers;
        if (chosen.entry.empty()) {
            chosen.entry = entry_names[m_world.choose(entry_names.size())];
        }
        if (chosen.server.empty()) {
            chosen.server = servers[m_world.choose(servers.size())].name;
        }
        return chosen;
    }

    void begin(const std::string& entry, const std::string& server) {
        apply(m_fault, choose_target(entry, server));
        base::duration end = m_fault.length;
        if (m_second) {
            const auto& other = faults()[m_second->fault];
            end = std::max(end, m_second->after + other.length);
            m_recovery = std::max(m_recovery, other.recovery);
            m_world.events().after(m_second->after, [this, &other] { apply(other, choose_target({}, {})); });
        }
        m_length = end;
        m_world.events().after(end, [this] { m_step.restore(m_world); });
    }

    void apply(const fault& kind, const fault_target& chosen) {
        kind.begin(m_world, m_callers, chosen);
        m_world.events().after(kind.length, [this, &kind, chosen] { kind.end(m_world, chosen); });
    }

    std::vector<std::string> check_results(base::time_point probes) {
        auto problems = m_world.violations();
        for (const auto& lines : {m_callers.late_responses(), m_callers.errors_without_retry_after()}) {
            problems.insert(problems.end(), lines.begin(), lines.end());
        }
        // Strikes are not shared across a cut, so each side may lose two servers.
        const bool cut = m_fault.scope == fault_scope::cut ||
                         (m_second && faults()[m_second->fault].scope == fault_scope::cut);
        if (m_world.servers().crashes() > (cut ? 4U : 2U)) {
            problems.push_back(fmt::format("content took {} servers down", m_world.servers().crashes()));
        }
        const bool all = m_fault.during == service_during::all && m_step.during == service_during::all &&
                         (!m_second || faults()[m_second->fault].during == service_during::all);
        const auto since = all ? base::time_point{} : probes;
        for (const auto& call : m_callers.calls()) {
            const bool counts =
                call.plan.body.empty() && !call.submissions.empty() && call.submissions.front().sent >= since;
            if (counts && call.outcome() != execution_state::executed) {
                problems.push_back(describe(call));
            }
        }
        return problems;
    }

    static std::string describe(const call_record& call) {
        const auto& first = call.submissions.front();
        const auto* response = call.response();
        return fmt::format("{} from {} through {} sent at {} ms was not executed: {}", call.plan.service,
                           call.plan.home, first.entry, elapsed(first.sent),
                           response == nullptr || !response->error
                               ? "no answer"
                               : base::properties_of(*response->error).name);
    }

    const fault& m_fault;
    const step_plan& m_step;
    std::optional<second_fault> m_second;
    engine_world m_world;
    callers m_callers{m_world};
    base::duration m_length{};
    base::duration m_recovery = std::max(m_fault.recovery, m_step.recovery);
    bool m_reached = false;
};

} // namespace

std::vector<std::string> run_cell(std::size_t fault_index, std::size_t step_index, std::uint64_t seed,
                                  const std::optional<second_fault>& second) {
    return cell_run(faults().at(fault_index), steps().at(step_index), seed, second).run();
}

} // namespace carawayway::engine_test
