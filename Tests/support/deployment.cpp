// Assigns the addresses of a test deployment, generates its settings and policy, and starts its entries.
#include "Tests/support/deployment.hpp"

#include "Tests/support/caller.hpp"
#include "carawayway/json/base64.hpp"
#include "stand_ins/support/address.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <charconv>
#include <iostream>

namespace carawayway::test_support {

namespace {

// Last octet of the addresses of an entry, 127.1.INDEX.KIND.
constexpr int caller_kind = 1;
constexpr int peer_kind = 2;
constexpr int operator_kind = 3;
// The backend stand-ins accept more requests than the policy allows, so that an entry which exceeds the
// policy shows up in the history instead of being refused.
constexpr std::uint32_t spare_slots = 8;
constexpr std::size_t maximum_printed_log_bytes = 3000;

std::uint64_t from_hex(const std::string& digits) {
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

boost::asio::ip::tcp::endpoint endpoint_of(const std::string& address) {
    return stand_ins::parse_address(address).value();
}

} // namespace

void history_recorder::add(event_content content, base::time_point time) {
    const std::lock_guard lock(m_mutex);
    m_events.push_back({time, std::move(content)});
}

history history_recorder::snapshot() const {
    const std::lock_guard lock(m_mutex);
    return m_events;
}

std::size_t history_recorder::count_starts(const std::string& server, base::time_point after) const {
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_events.begin(), m_events.end(), [&server, after](const event& item) {
            const auto* started = std::get_if<execution_started>(&item.content);
            return started != nullptr && started->server == server && item.time > after;
        }));
}

deployment::deployment(deployment_options options) : m_options(std::move(options)) {
    std::map<std::string, std::string> regions;
    for (const auto& entry : m_options.entries) {
        regions[entry.domain] = entry.region;
    }
    for (const auto& service : m_options.services) {
        for (const auto& [domain, region] : regions) {
            for (std::uint32_t number = 1; number <= service.servers_per_domain; ++number) {
                const auto name = fmt::format("{}-{}-{}", service.name, domain, number);
                m_servers.push_back({name, service.name, domain, region});
                m_server_regions[name] = region;
            }
        }
    }
    start_backend();
    start_links();
    m_folder.write("deployment.key", "a secret for this test only");
    m_folder.write("operator.token", "another secret for this test only");
    put("/carawayway/policy", policy_text("first"));
}

deployment::~deployment() {
    m_processes.clear();
    if (!::testing::Test::HasFailure()) {
        return;
    }
    for (const auto& [name, starts] : m_starts) {
        for (int number = 1; number <= starts; ++number) {
            const auto file = fmt::format("{}.{}.log", name, number);
            const auto log = read_text(m_folder.path() + "/" + file);
            const auto skipped = log.size() - std::min(log.size(), maximum_printed_log_bytes);
            std::cerr << "--- last lines of " << file << "\n" << log.substr(skipped);
        }
    }
}

void deployment::start_backend() {
    std::vector<stand_ins::server_spec> specs;
    for (const auto& server : m_servers) {
        const auto address = m_port.on(fmt::format("127.4.0.{}", specs.size() + 1));
        specs.push_back({server.name, server.service, endpoint_of(address), slots_per_server + spare_slots});
    }
    stand_ins::backend_options options;
    options.service_time = std::chrono::milliseconds(m_options.service_time_ms);
    options.on_event = [this](const stand_ins::backend_event& event) { record(event); };
    m_backend = std::make_unique<stand_ins::backend_fleet>(specs, options);
}

void deployment::record(const stand_ins::backend_event& event) {
    const base::time_point time{base::duration{event.monotonic_nanoseconds}};
    switch (event.kind) {
    case stand_ins::backend_event_kind::start:
        m_recorder.add(execution_started{event.request_id, event.server, m_server_regions.at(event.server),
                                         from_hex(event.body_hash)},
                       time);
        return;
    case stand_ins::backend_event_kind::finish:
        m_recorder.add(
            execution_finished{event.request_id, event.server,
                               answer_hash(event.server, event.request_id, event.body_hash, event.execution)},
            time);
        return;
    case stand_ins::backend_event_kind::cancel:
        m_recorder.add(execution_cancelled{event.request_id, event.server}, time);
        return;
    case stand_ins::backend_event_kind::crash:
        m_recorder.add(server_stopped{event.server}, time);
        return;
    case stand_ins::backend_event_kind::refuse:
        return;
    }
}

// Creates one route for each ordered pair of entries in different regions, and one from each entry to the
// platform.
void deployment::start_links() {
    std::vector<stand_ins::route_spec> routes;
    for (const auto& from : m_options.entries) {
        const auto address = [this, &from](const std::string& to) {
            return endpoint_of(entry_address(from.name + ">" + to, 0));
        };
        routes.push_back({from.name + ">platform", address("platform"), endpoint_of(m_platform.address())});
        for (const auto& to : m_options.entries) {
            if (from.region != to.region) {
                routes.push_back({from.name + ">" + to.name, address(to.name),
                                  endpoint_of(entry_address(to.name, peer_kind))});
            }
        }
    }
    m_links = std::make_unique<stand_ins::link_relay>(routes);
}

std::size_t deployment::index_of(const std::string& name) const {
    const auto found = std::find_if(m_options.entries.begin(), m_options.entries.end(),
                                    [&name](const entry_spec& entry) { return entry.name == name; });
    return static_cast<std::size_t>(found - m_options.entries.begin());
}

// Address of an entry, 127.1.INDEX.KIND, or of the route FROM>TO, 127.2.FROM.TO.
std::string deployment::entry_address(const std::string& name, int kind) const {
    const auto arrow = name.find('>');
    if (arrow == std::string::npos) {
        return m_port.on(fmt::format("127.1.{}.{}", index_of(name), kind));
    }
    return m_port.on(
        fmt::format("127.2.{}.{}", index_of(name.substr(0, arrow)), index_of(name.substr(arrow + 1)) + 1));
}

std::string deployment::caller_address(const std::string& name) const {
    return entry_address(name, caller_kind);
}

std::string deployment::source_address_in(const std::string& region) const {
    return region == m_options.entries.front().region ? "127.10.0.1" : "127.20.0.1";
}

std::string deployment::settings_text(const entry_spec& entry) const {
    std::string text = fmt::format(
        "[entry]\nname = {}\nfailure_domain = {}\nregion = {}\ncaller_address = {}\npeer_address = {}\n"
        "operator_address = {}\ndeployment_key_file = deployment.key\noperator_token_file = operator.token\n"
        "[platform]\naddresses = {}\ntimeout_ms = 500\ninstance_list_interval_ms = 200\n"
        "[timing]\nheartbeat_ms = 100\nownership_term_ms = 1200\npause_limit_ms = 400\n"
        "revalidation_ms = 300\n",
        entry.name, entry.domain, entry.region, entry_address(entry.name, caller_kind),
        entry_address(entry.name, peer_kind), entry_address(entry.name, operator_kind),
        m_links->address(entry.name + ">platform"));
    for (const auto& peer : m_options.entries) {
        if (peer.name == entry.name) {
            continue;
        }
        const bool relayed = peer.region != entry.region;
        text += fmt::format("[peer {}]\nfailure_domain = {}\nregion = {}\npeer_address = {}\n"
                            "caller_address = {}\n",
                            peer.name, peer.domain, peer.region,
                            relayed ? m_links->address(entry.name + ">" + peer.name)
                                    : entry_address(peer.name, peer_kind),
                            entry_address(peer.name, caller_kind));
    }
    return text;
}

std::string deployment::policy_text(const std::string& change_id) const {
    std::string text = fmt::format(
        "[policy]\nchange_id = {}\nlookup_lifetime_ms = 300\nid_acceptance_ms = 20000\n", change_id);
    std::map<std::string, std::string> domains;
    std::map<std::string, std::string> sources; // address block of the callers, by region
    for (const auto& entry : m_options.entries) {
        domains[entry.domain] = entry.region;
        const auto source = source_address_in(entry.region);
        sources[entry.region] = source.substr(0, source.find(".0.1")) + ".0.0/16";
    }
    for (const auto& [region, source] : sources) {
        text += fmt::format("[region {}]\n", region);
    }
    for (const auto& [domain, region] : domains) {
        text += fmt::format("[domain {}]\nregion = {}\n", domain, region);
    }
    for (const auto& service : m_options.services) {
        const bool idempotent = service.semantics == config::request_semantics::idempotent;
        text += fmt::format("[service {}]\nsemantics = {}\ndefault_timeout_ms = 500\n"
                            "maximum_timeout_ms = 600\nwarm_up_ms = 0\nshift_cap_share = 1\n",
                            service.name, idempotent ? "idempotent" : "non-idempotent");
    }
    for (const auto& server : m_servers) {
        text += fmt::format("[server {}]\nservice = {}\ndomain = {}\naddress = {}\nslots = {}\n", server.name,
                            server.service, server.domain, m_backend->address(server.name), slots_per_server);
    }
    text += "[client_blocks]\n";
    for (const auto& [region, source] : sources) {
        text += fmt::format("{} = {}\n", source, region);
    }
    return text;
}

void deployment::put(const std::string& key, const std::string& value) const {
    cli::http_call call;
    call.address = m_platform.address();
    call.method = "POST";
    call.target = "/v3/kv/put";
    call.body =
        fmt::format(R"({{"key":"{}","value":"{}"}})", json::base64_encode(key), json::base64_encode(value));
    cli::call_failure failure{};
    std::string reason;
    const auto reply = cli::perform(call, failure, reason);
    ASSERT_TRUE(reply && reply->status == 200) << reason;
}

void deployment::start_entry(const std::string& name) {
    m_processes.erase(name);
    const auto settings_file = name + ".ini";
    m_folder.write(settings_file, settings_text(m_options.entries.at(index_of(name))));
    const auto log = fmt::format("{}/{}.{}.log", m_folder.path(), name, ++m_starts[name]);
    m_processes[name] =
        std::make_unique<child_process>(std::vector<std::string>{CARAWAYWAY_PROGRAM, "entry", "--settings",
                                                                 m_folder.path() + "/" + settings_file},
                                        log);
    cli::http_call call;
    call.address = caller_address(name);
    call.target = "/ready";
    const auto ready = [&call] {
        cli::call_failure failure{};
        std::string reason;
        const auto reply = cli::perform(call, failure, reason);
        return reply && reply->status == 200;
    };
    ASSERT_TRUE(wait_until(ready)) << name;
}

void deployment::start() {
    for (const auto& entry : m_options.entries) {
        start_entry(entry.name);
    }
    for (const auto& server : m_servers) {
        const auto owned = [this, &server] {
            return std::any_of(m_processes.begin(), m_processes.end(), [&server](const auto& item) {
                return !item.second->lines_with("event=server-owned server=" + server.name).empty();
            });
        };
        ASSERT_TRUE(wait_until(owned)) << server.name;
    }
}

std::vector<std::string> deployment::servers_in(const std::string& domain) const {
    std::vector<std::string> names;
    for (const auto& server : m_servers) {
        if (server.domain == domain) {
            names.push_back(server.name);
        }
    }
    return names;
}

void deployment::control_links(const std::string& from_region, const std::string& to_region,
                               const std::string& fields) {
    for (const auto& from : m_options.entries) {
        for (const auto& to : m_options.entries) {
            if (from.region == from_region && to.region == to_region) {
                m_links->control(fmt::format(R"({{"route":"{}>{}",{}}})", from.name, to.name, fields));
            }
        }
    }
}

void deployment::expect_no_violations() {
    history_limits limits;
    for (const auto& server : m_servers) {
        limits.server_slots[server.name] = slots_per_server;
    }
    for (const auto& found : check(m_recorder.snapshot(), limits)) {
        ADD_FAILURE() << "violated history rule " << static_cast<int>(found.rule) << " at "
                      << found.time.time_since_epoch().count() << " ns: " << found.detail;
    }
}

} // namespace carawayway::test_support
