// Generates the policy, the members and the messages of the peers of a synthetic deployment.
#include "deployment.hpp"

#include "carawayway/wire/message_codec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace carawayway::bench {

namespace {

constexpr std::uint64_t incarnation = 1;

std::string domain_name(std::uint32_t domain) {
    return fmt::format("d{}", domain);
}

std::string region_name(std::uint32_t domain, std::uint32_t domains_per_region) {
    return fmt::format("r{}", domain / domains_per_region);
}

std::string entry_name(std::uint32_t domain, std::uint32_t entry) {
    return fmt::format("d{}-e{}", domain, entry);
}

wire::member_record make_member_record(const deployment_size& size, std::uint32_t domain,
                                       std::uint32_t entry) {
    const auto port = static_cast<std::uint16_t>(20000 + domain * 1000 + entry);
    return {entry_name(domain, entry),
            domain_name(domain),
            region_name(domain, size.domains_per_region),
            incarnation,
            {"127.0.0.1", port},
            {"127.0.0.2", port}};
}

} // namespace

deployment::deployment(deployment_size size) : m_size(size), m_now(std::chrono::hours(1)) {
    base::set_log_level(base::log_level::error);
    const auto self = make_member_record(size, 0, size.self);
    engine::control_settings control;
    control.ownership.hold = membership::start_hold::none;
    m_engine = std::make_unique<engine::entry_engine>(
        engine::engine_identity{self.name, self.failure_domain, self.region, incarnation, m_now}, self,
        control, engine::engine_limits{}, 1, m_metrics, m_now);
    m_engine->policy_read(1, policy_text(), m_now, m_effects);
    add_members();
    m_effects.clear();
}

std::string deployment::policy_text() const {
    std::string text = "[policy]\nchange_id = bench\n";
    for (std::uint32_t domain = 0; domain < m_size.domains; ++domain) {
        if (domain % m_size.domains_per_region == 0) {
            text += fmt::format("[region {}]\n", region_name(domain, m_size.domains_per_region));
        }
        text += fmt::format("[domain {}]\nregion = {}\n", domain_name(domain),
                            region_name(domain, m_size.domains_per_region));
    }
    for (std::uint32_t service = 0; service < m_size.services; ++service) {
        text += fmt::format("[service s{}]\ncustomer = bench\nsemantics = {}\n", service,
                            service % 2 == 0 ? "idempotent" : "non-idempotent");
        for (std::uint32_t domain = 0; domain < m_size.domains; ++domain) {
            for (std::uint32_t server = 0; server < m_size.servers_per_domain; ++server) {
                text +=
                    fmt::format("[server s{}-{}-{}]\nservice = s{}\ndomain = {}\naddress = 127.{}.{}.{}:80\n"
                                "slots = {}\nconnections = 300\n",
                                service, domain, server, service, domain_name(domain), 10 + service, domain,
                                server + 1, m_size.slots);
            }
        }
    }
    return text + "[client_blocks]\n127.0.0.0/8 = r0\n";
}

void deployment::add_members() {
    wire::member_list list;
    for (std::uint32_t domain = 0; domain < m_size.domains; ++domain) {
        for (std::uint32_t entry = 0; entry < m_size.entries_per_domain; ++entry) {
            if (domain > 0 || entry != m_size.self) {
                list.members.push_back(make_member_record(m_size, domain, entry));
            }
        }
    }
    for (const auto& member : list.members) {
        m_engine->add_seed(member, m_now);
    }
    m_engine->tick(m_now, m_effects);
    for (const auto& effect : m_effects) {
        if (const auto* targets = std::get_if<engine::set_peer_targets>(&effect)) {
            m_targets = *targets;
            m_linked_members.clear();
            for (const auto& target : targets->peers) {
                m_linked_members.push_back(target.name);
            }
        }
    }
    m_link_count = m_linked_members.size();
    engine::effects ignored;
    for (const auto& member : list.members) {
        if (std::find(m_linked_members.begin(), m_linked_members.end(), member.name) ==
            m_linked_members.end()) {
            m_unlinked_members.push_back(member.name);
            continue;
        }
        wire::hello hello;
        hello.name = member.name;
        hello.failure_domain = member.failure_domain;
        hello.region = member.region;
        hello.incarnation = member.incarnation;
        hello.caller_address = member.caller_address;
        hello.peer_address = member.peer_address;
        m_engine->link_up(member.name, hello, m_now, ignored);
    }
}

wire::received_message deployment::wrap_message(const std::string& sender, wire::peer_message message) const {
    return {{sender, incarnation, 1, m_counter}, std::move(message)};
}

void deployment::receive_control_round() {
    ++m_counter;
    wire::entry_summary summary;
    for (std::uint32_t service = 0; service < m_size.services; ++service) {
        summary.services.push_back(
            {fmt::format("s{}", service), 4, 8, 4, 0, 20000, {{"r0", 100.0}, {"r1", 50.0}}});
    }
    std::size_t next_relayed = 0;
    for (const auto& peer : m_linked_members) {
        wire::heartbeat heartbeat;
        // In each round, the peers together relay the counter of every entry instance without a link once.
        const std::size_t share = m_unlinked_members.size() / m_linked_members.size() + 1;
        for (; heartbeat.relayed.size() < share && next_relayed < m_unlinked_members.size(); ++next_relayed) {
            heartbeat.relayed.push_back({m_unlinked_members[next_relayed], incarnation, m_counter});
        }
        heartbeat.counter = m_counter;
        heartbeat.claims_version = 1;
        if (m_counter == 1) {
            heartbeat.claims.emplace();
        }
        m_engine->peer_message(peer, wrap_message(peer, heartbeat), m_now, m_effects);
        m_engine->peer_message(peer, wrap_message(peer, summary), m_now, m_effects);
    }
    m_effects.clear();
}

deployment::traffic deployment::take_traffic() {
    traffic sum;
    const auto add = [&sum](const wire::peer_message& message, std::uint64_t receivers) {
        const std::uint64_t bytes =
            receivers * (wire::encode({"d0-e00", 1, 1, 1}, message).size() + sizeof(std::uint32_t));
        if (std::holds_alternative<wire::heartbeat>(message)) {
            sum.heartbeats += bytes;
        } else if (std::holds_alternative<wire::entry_summary>(message)) {
            sum.summaries += bytes;
        } else {
            sum.others += bytes;
        }
    };
    for (const auto& effect : std::exchange(m_effects, {})) {
        if (const auto* one = std::get_if<engine::send_to_peer>(&effect)) {
            add(one->message, 1);
            answer_claims_request(*one);
        } else if (const auto* all = std::get_if<engine::broadcast_to_peers>(&effect)) {
            add(all->message, m_linked_members.size());
        } else if (const auto* targets = std::get_if<engine::set_peer_targets>(&effect)) {
            m_targets = *targets;
        }
    }
    return sum;
}

void deployment::settle() {
    constexpr int rounds = 200;
    constexpr auto step = std::chrono::milliseconds(100);
    for (int round = 0; round < rounds; ++round) {
        advance(step);
        receive_control_round();
        tick();
        take_traffic();
        if (round == rounds / 2) {
            drop_unneeded_links();
        }
    }
    m_effects.clear();
}

// Drops the links that the engine no longer needs: at first it connects to more members than after it has
// received messages about them.
void deployment::drop_unneeded_links() {
    const auto needed = [this](const std::string& name) {
        return std::any_of(m_targets.peers.begin(), m_targets.peers.end(),
                           [&name](const auto& target) { return target.name == name; });
    };
    const auto first_dropped =
        std::stable_partition(m_linked_members.begin(), m_linked_members.end(), needed);
    for (auto dropped = first_dropped; dropped != m_linked_members.end(); ++dropped) {
        m_engine->link_down(*dropped, m_now, m_effects);
        m_unlinked_members.push_back(*dropped);
    }
    m_linked_members.erase(first_dropped, m_linked_members.end());
    m_link_count = m_linked_members.size();
}

// Answers a claims request as a peer without claims, so that each claim of the engine succeeds.
void deployment::answer_claims_request(const engine::send_to_peer& effect) {
    const auto* request = std::get_if<wire::claims_request>(&effect.message);
    if (request == nullptr) {
        return;
    }
    wire::claims_report report;
    report.token = request->token;
    report.claims_version = 1;
    m_engine->peer_message(effect.entry, wrap_message(effect.entry, report), m_now, m_effects);
}

} // namespace carawayway::bench
