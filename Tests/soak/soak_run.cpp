// Faults, recovery and checks of one run.
#include "Tests/soak/soak_run.hpp"

#include "stand_ins/support/address.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <future>

namespace carawayway::soak {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::size_t callers = 12;
constexpr std::size_t servers_per_domain = 3;
constexpr std::size_t most_drained = 3;
constexpr milliseconds route_time{1500};
constexpr std::size_t most_attempts = 2;
// A caller is answered this long after the route's time at the latest: the platform's bound.
constexpr milliseconds answer_slack{500};
// A connection that ends this soon after a request was written may have been closed before it was read.
constexpr milliseconds unread_bound{200};
// Before and after a disruption, requests at the gateway may be disturbed by it.
constexpr milliseconds disruption_margin{1500};
constexpr std::size_t checked_requests = 60;

boost::asio::ip::tcp::endpoint endpoint_of(const std::string& address) {
    return stand_ins::parse_address(address).value();
}

} // namespace

soak_run::soak_run(soak_options options)
    : m_options(options), m_random(options.seed), m_store(m_context), m_loop([this] {
          const auto work = boost::asio::make_work_guard(m_context);
          m_context.run();
      }) {}

soak_run::~soak_run() {
    m_gateways.clear(); // kills what still runs
    m_context.stop();
    m_loop.join();
}

void soak_run::on_loop(const std::function<void()>& action) {
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void soak_run::later(milliseconds delay, std::function<void()> action) {
    m_later.push({clock::now() + delay, std::move(action)});
}

milliseconds soak_run::random_time(int least_ms, int most_ms) {
    return milliseconds{std::uniform_int_distribution<int>{least_ms, most_ms}(m_random)};
}

void soak_run::report(std::string finding) {
    m_findings.push_back(std::move(finding));
}

void soak_run::add_gateway(const std::string& name, const std::string& domain, const std::string& region) {
    auto made = std::make_unique<gateway>();
    made->name = name;
    made->domain = domain;
    made->region = region;
    std::vector<std::string> addresses;
    for (int kind = 0; kind < 5; ++kind) {
        m_ports.push_back(std::make_unique<test_support::reserved_port>());
        addresses.push_back(m_ports.back()->on("127.1.3.1"));
    }
    made->caller_address = addresses[0];
    made->readiness_address = addresses[1];
    m_folder.write(
        name + ".ini",
        fmt::format("[gateway]\nname = {}\nfailure_domain = {}\nregion = {}\n"
                    "caller_address = {}\nreadiness_address = {}\nlookup_address = {}\n"
                    "peer_address = {}\nmetrics_address = {}\n"
                    "bounds = budgetRatio=0.2,budgetSlack=60,coldOver=1.5,coldSlack=5,shiftMost=0.15,"
                    "ttl_max_s=5,graceS=6\nlog_level = info\n"
                    "[store]\naddress = {}\nshortest_lease_ms = 1000\n"
                    "[domain a1]\nregion = a\n[domain b1]\nregion = b\n",
                    name, domain, region, addresses[0], addresses[1], addresses[2], addresses[3],
                    addresses[4], m_store.address()));
    made->settings = m_folder.path() + "/" + name + ".ini";
    m_gateways.push_back(std::move(made));
}

void soak_run::start_process(gateway& target) {
    target.process = std::make_unique<test_support::child_process>(
        std::vector<std::string>{CARAWAYWAY_PROGRAM, "gateway", "--settings", target.settings},
        fmt::format("{}/{}-{}.log", m_folder.path(), target.name, ++target.starts));
    target.state = process_state::running;
    if (!target.disruptions.empty()) {
        target.disruptions.back().to = clock::now();
    }
}

void soak_run::end_process(gateway& target, int signal) {
    const auto result = target.process->wait();
    target.state = process_state::ended;
    if (signal == SIGTERM && result != 0) {
        report(fmt::format("{} ended with {} after SIGTERM", target.name, result.value_or(-1)));
    }
}

soak_run::gateway* soak_run::random_running() {
    std::vector<gateway*> running;
    for (const auto& item : m_gateways) {
        if (item->state == process_state::running) {
            running.push_back(item.get());
        }
    }
    return running.size() < 2 ? nullptr : running[m_random() % running.size()];
}

void soak_run::put_configuration() {
    ++m_version;
    const auto route = [](const std::string& prefix, const char* kind) {
        return json::object{{"prefix", prefix},
                            {"kind", kind},
                            {"service", "orders"},
                            {"timeoutMs", route_time.count()},
                            {"targetLatencyMs", 250},
                            {"priority", 0},
                            {"maxAttempts", most_attempts},
                            {"sticky", true}};
    };
    const json::object document{
        {"version", fmt::format("{:x}", m_version)},
        {"services",
         json::array{json::object{{"name", "orders"}, {"healthPath", "/health"}, {"maxConns", 0}}}},
        {"hosts",
         json::array{json::object{{"host", "soak.example"},
                                  {"paths", json::array{route("/read/", "safe"), route("/book/", "unsafe"),
                                                        route(fmt::format("/v{}/", m_version), "safe")}}}}}};
    on_loop([&] { m_store.put("op/config", document); });
}

void soak_run::kill_gateway() {
    auto* const target = random_running();
    if (target == nullptr) {
        return;
    }
    target->disruptions.push_back({clock::now(), clock::time_point::max(), false});
    target->process->send_signal(SIGKILL);
    end_process(*target, SIGKILL);
    later(random_time(50, 900), [this, target] { start_process(*target); });
}

void soak_run::pause_gateway() {
    auto* const target = random_running();
    if (target == nullptr) {
        return;
    }
    target->state = process_state::paused;
    target->disruptions.push_back({clock::now(), clock::time_point::max(), false});
    target->process->send_signal(SIGSTOP);
    later(random_time(100, 2500), [target] {
        target->process->send_signal(SIGCONT);
        target->state = process_state::running;
        target->disruptions.back().to = clock::now();
    });
}

void soak_run::stop_gateway() {
    auto* const target = random_running();
    if (target == nullptr) {
        return;
    }
    target->state = process_state::stopping;
    target->disruptions.push_back({clock::now(), clock::time_point::max(), true});
    target->process->send_signal(SIGTERM);
    later(milliseconds{6500}, [this, target] {
        end_process(*target, SIGTERM);
        start_process(*target);
    });
}

void soak_run::reload_gateway() {
    if (auto* const target = random_running()) {
        target->disruptions.push_back({clock::now(), clock::now(), true});
        target->process->send_signal(SIGHUP);
    }
}

void soak_run::disturb_store() {
    constexpr std::array faults{store_fault::silent, store_fault::busy, store_fault::resets,
                                store_fault::answers_lost, store_fault::history_dropped};
    const auto fault = faults.at(m_random() % faults.size());
    on_loop([&] { m_store.set_fault(fault); });
    later(random_time(200, 3000), [this] { on_loop([this] { m_store.set_fault(store_fault::none); }); });
}

void soak_run::disturb_server() {
    constexpr std::array faults{server_fault::silent_before_run,
                                server_fault::silent_after_run,
                                server_fault::reset_before_run,
                                server_fault::reset_after_run,
                                server_fault::sheds,
                                server_fault::slow,
                                server_fault::extra_answers};
    auto* const target = m_servers[m_random() % m_servers.size()].get();
    const auto fault = faults.at(m_random() % faults.size());
    on_loop([&] { target->set_fault(fault); });
    later(random_time(200, 2500),
          [this, target] { on_loop([&] { target->set_fault(server_fault::none); }); });
}

void soak_run::drain_server() {
    if (m_drained == most_drained) {
        return;
    }
    // The first servers, so that no domain loses all of its own.
    auto& target = *m_servers[(m_drained % 2) * servers_per_domain + m_drained / 2];
    ++m_drained;
    on_loop([&] {
        target.leave();
        m_store.put("servers/" + target.id(), target.entry());
    });
}

void soak_run::begin_fault() {
    switch (m_random() % 9) {
    case 0:
        kill_gateway();
        break;
    case 1:
        pause_gateway();
        break;
    case 2:
        stop_gateway();
        break;
    case 3:
        reload_gateway();
        break;
    case 4:
        put_configuration();
        break;
    case 5:
        drain_server();
        break;
    case 6:
        disturb_store();
        break;
    default:
        disturb_server();
        break;
    }
}

void soak_run::act_until(clock::time_point end) {
    while (!m_later.empty() && m_later.top().when <= end) {
        const auto next = m_later.top();
        m_later.pop();
        std::this_thread::sleep_until(next.when);
        next.act();
    }
    std::this_thread::sleep_until(end);
}

// One request on a connection of its own; whether it is answered with the status.
bool soak_run::probe(const std::string& address, const std::string& target, unsigned status) const {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(endpoint_of(address), error);
    const std::string request = "GET " + target +
                                " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: probe\r\n"
                                "Deadline-Ms: 4000\r\nConnection: close\r\n\r\n";
    if (!error) {
        boost::asio::write(socket, boost::asio::buffer(request), error);
    }
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer.starts_with(fmt::format("HTTP/1.1 {} ", status));
}

void soak_run::heal() {
    while (!m_later.empty()) {
        act_until(m_later.top().when);
    }
    on_loop([this] {
        m_store.set_fault(store_fault::none);
        for (const auto& server : m_servers) {
            server->set_fault(server_fault::none);
        }
    });
}

void soak_run::check_recovery() {
    put_configuration();
    const auto newest = fmt::format("/v{}/x", m_version);
    const auto older = fmt::format("/v{}/x", m_version - 1);
    for (const auto& item : m_gateways) {
        const bool recovered = test_support::wait_until([&] {
            return probe(item->caller_address, newest, 200) && probe(item->caller_address, older, 404);
        });
        if (!recovered) {
            report(fmt::format("{} does not serve the newest configuration after the faults", item->name));
        }
    }
}

void soak_run::check_drained() {
    const auto from = clock::now();
    test_support::wait_until([this, before = m_record.attempts.size()] {
        std::size_t now = 0;
        on_loop([&] { now = m_record.attempts.size(); });
        return now >= before + checked_requests;
    });
    on_loop([&] {
        for (const auto& [request, runs] : m_record.runs) {
            for (const auto& item : runs) {
                const bool drained = std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& server) {
                    return server->id() == item.server &&
                           server->entry().at("status").at("state").as_string() == "draining";
                });
                if (drained && item.began > from) {
                    report(fmt::format("{} ran at {}, which is leaving", request, item.server));
                }
            }
        }
    });
}

void soak_run::check_attempts() {
    for (const auto& item : m_record.attempts) {
        const auto found = m_record.runs.find(item.request_id);
        const std::size_t runs = found == m_record.runs.end() ? 0 : found->second.size();
        const bool repeatable = item.semantics == request_semantics::idempotent;
        if (runs > (repeatable ? most_attempts : 1)) {
            report(fmt::format("{} ran {} times", item.request_id, runs));
        }
        const bool promised_not_run =
            item.status == 429 || item.status == 503 || item.status == 408 || item.status == 421;
        if (promised_not_run && runs > 0) {
            report(fmt::format("{} was answered {} and ran", item.request_id, item.status));
        }
        if (item.status == 200 && (runs == 0 || !item.own_body)) {
            report(fmt::format("{} got the answer of another request", item.request_id));
        }
        const auto& at = *m_gateways[item.gateway];
        bool disturbed = false;
        for (const auto& known : at.disruptions) {
            const bool near = item.ended > known.from && (known.to == clock::time_point::max() ||
                                                          item.sent < known.to + disruption_margin);
            disturbed = disturbed || (near && !known.is_planned);
        }
        if (disturbed) {
            continue;
        }
        const auto taken = item.ended - item.sent;
        if (item.was_written && item.status == 0 && taken > unread_bound) {
            report(fmt::format("{} at {} was cut after {} ms", item.request_id, at.name,
                               std::chrono::duration_cast<milliseconds>(taken).count()));
        }
        if (m_options.times == soak_options::timing::checked && taken > route_time + answer_slack) {
            report(fmt::format("{} at {} took {} ms", item.request_id, at.name,
                               std::chrono::duration_cast<milliseconds>(taken).count()));
        }
    }
}

std::vector<std::string> soak_run::play() {
    std::vector<boost::asio::ip::tcp::endpoint> addresses;
    for (const auto* const domain : {"a1", "b1"}) {
        const std::string region(1, domain[0]);
        for (std::size_t index = 0; index < servers_per_domain; ++index) {
            m_servers.push_back(std::make_unique<server_stand_in>(
                m_context, fmt::format("i-{}-{}", domain, index), domain, m_record, m_random()));
        }
        add_gateway(fmt::format("{}-1", domain), domain, region);
        add_gateway(fmt::format("{}-2", domain), domain, region);
    }
    on_loop([this] {
        for (const auto& server : m_servers) {
            m_store.put("servers/" + server->id(), server->entry());
        }
    });
    put_configuration();
    for (const auto& item : m_gateways) {
        addresses.push_back(endpoint_of(item->caller_address));
        start_process(*item);
    }
    for (const auto& item : m_gateways) {
        if (!test_support::wait_until([&] { return probe(item->readiness_address, "/ready", 200); })) {
            report(item->name + " does not become ready");
            return m_findings;
        }
    }
    on_loop([&] {
        for (std::size_t index = 0; index < callers; ++index) {
            m_callers.push_back(std::make_unique<soak_caller>(m_context, addresses, m_record, m_random()));
            m_callers.back()->start();
        }
    });
    const auto end = clock::now() + m_options.length;
    while (clock::now() < end) {
        act_until(std::min(end, clock::now() + random_time(50, 600)));
        begin_fault();
    }
    heal();
    check_recovery();
    check_drained();
    on_loop([this] {
        for (const auto& caller : m_callers) {
            caller->stop();
        }
    });
    test_support::wait_until([this] {
        bool ended = false;
        on_loop([&] {
            ended = std::all_of(m_callers.begin(), m_callers.end(),
                                [](const auto& caller) { return caller->has_ended(); });
        });
        return ended;
    });
    on_loop([this] { check_attempts(); });
    return m_findings;
}

} // namespace carawayway::soak
