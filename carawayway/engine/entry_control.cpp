// The periodic control work of the entry engine and its handlers for peer messages.
#include "carawayway/base/log.hpp"
#include "carawayway/engine/entry_engine.hpp"
#include "carawayway/wire/message_codec.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace carawayway::engine {

namespace {

constexpr auto maintenance_interval = std::chrono::seconds(1);
// Ownership changes come in bursts; one summary covers a burst.
constexpr auto ownership_change_summary_delay = std::chrono::milliseconds(50);
// Longer than the time until an entry instance without a link is suspected.
constexpr auto rate_sample_window = std::chrono::seconds(4);
constexpr std::size_t minimum_rate_samples = 4;
constexpr auto departed_sender_list_lifetime = std::chrono::seconds(10);
constexpr auto reachability_lifetime = std::chrono::seconds(3);

constexpr int heartbeats_until_suspected = 4;

// Size of a message on a link in bytes, including the length prefix and a typical envelope.
std::size_t message_size(const wire::peer_message& message) {
    return wire::encode({"entry-name", 1, 1, 1}, message).size() + sizeof(std::uint32_t);
}

// Capacity level of each service: 0 without free slots, 1 with free slots, 2 with queued requests. Only a
// change of the level is urgent for peers.
std::vector<std::uint8_t> capacity_levels(const wire::entry_summary& summary) {
    std::vector<std::uint8_t> levels;
    for (const auto& service : summary.services) {
        const std::uint8_t without_free_slots = service.queued > 0 ? 2 : 0;
        levels.push_back(service.free_slots > 0 ? 1 : without_free_slots);
    }
    return levels;
}

} // namespace

void entry_engine::control_tick(base::time_point now, effects& out) {
    m_next_control = now + m_control.control_interval;
    apply_member_changes(now, out);
    apply_ownership(now, out);
    request_policy(now, out);
    if (now >= m_next_heartbeat) {
        send_heartbeats(now, out);
    }
    if (now >= m_next_summary) {
        send_summaries(now, out);
    }
    if (now >= m_next_maintenance) {
        m_next_maintenance = now + maintenance_interval;
        m_summaries.prune(now);
        update_reference_rates(now);
        probe_takeover_candidates(now, out);
        update_link_targets(out);
        update_store_watch(now, out);
        expire_instance_lists(now, out);
    }
    m_requests.set_dispatch_permission(m_ownership.dispatch_permitted_until());
}

void entry_engine::apply_member_changes(base::time_point now, effects& out) {
    const auto changes = m_members.tick(now);
    for (const auto& change : changes) {
        base::log(base::log_level::info, "member-status",
                  {{"entry", change.name},
                   {"before", membership::to_string(change.before)},
                   {"after", membership::to_string(change.after)}});
        const auto* member = m_members.find(change.name);
        if (change.after == membership::member_status::dead_certain && member != nullptr) {
            m_requests.peers().mark_dead(change.name, member->record.incarnation);
        }
        if (membership::is_dead(change.after)) {
            schedule_list_expiry(change.name, now);
            m_peer_revisions.erase(change.name);
            m_policy_replica.forget_peer(change.name);
        }
    }
    if (!changes.empty()) {
        update_link_targets(out);
        update_store_watch(now, out);
    }
}

void entry_engine::apply_ownership(base::time_point now, effects& out) {
    for (const auto& change : m_ownership.tick(now)) {
        using enum membership::ownership_event;
        const bool dispatches = change.event == acquired || change.event == resumed;
        base::log(base::log_level::info, dispatches ? "server-owned" : "server-not-owned",
                  {{"server", change.server}});
        if (dispatches) {
            const auto served = m_first_claimed.find(change.server);
            const bool served_elsewhere = served != m_first_claimed.end();
            m_requests.server_owned(
                change.server, served_elsewhere ? now - served->second : base::duration::zero(), now, out);
        } else {
            m_requests.server_not_owned(change.server, now);
        }
        // Peers place requests by the summary, so they do not use servers that were taken over before it
        // arrives.
        m_next_summary = std::min<base::time_point>(m_next_summary, now + ownership_change_summary_delay);
    }
    for (auto& request : m_ownership.take_claims_requests(now)) {
        out.emplace_back(send_to_peer{request.entry, std::move(request.request), std::nullopt});
    }
}

wire::running_state entry_engine::running_state() const {
    if (m_state != run_state::running) {
        return wire::running_state::stopping;
    }
    return m_ownership.start_complete() ? wire::running_state::running : wire::running_state::starting;
}

void entry_engine::send_heartbeats(base::time_point now, effects& out) {
    ++m_heartbeat_counter;
    wire::heartbeat message;
    message.counter = m_heartbeat_counter;
    message.running = running_state();
    message.claims_version = m_ownership.claims_version();
    const std::size_t relayed =
        m_links.size() > m_control.members.full_mesh_limit ? 1 : m_control.relayed_counters;
    const auto counters = m_members.next_counters_to_relay(relayed);
    message.relayed = counters.for_own_domain;
    const std::size_t bytes = message_size(message) * m_links.size();
    for (const auto& link : m_links) {
        auto& sent = m_claims_sent[link];
        message.claims.reset();
        if (sent != message.claims_version) {
            message.claims = m_ownership.claims();
            sent = message.claims_version;
        }
        const auto* member = m_members.find(link);
        const bool inward = member != nullptr && member->record.failure_domain == m_identity.failure_domain;
        message.relayed = inward ? counters.for_own_domain : counters.for_other_domains;
        out.emplace_back(send_to_peer{link, message, std::nullopt});
    }
    const auto interval =
        std::clamp<base::duration>(m_heartbeat_limiter.interval_for(bytes), m_control.heartbeat_interval,
                                   m_control.longest_heartbeat_interval);
    m_next_heartbeat = now + interval;
    m_members.set_suspect_after(
        std::max<base::duration>(m_control.members.suspect_after, heartbeats_until_suspected * interval));
}

wire::entry_summary entry_engine::make_summary(base::time_point now) {
    auto summary = m_requests.summary(now);
    const auto own = m_draining_by_sender.find(m_identity.name);
    if (own != m_draining_by_sender.end()) {
        summary.draining_servers.assign(own->second.begin(), own->second.end());
    }
    m_published_capacity = capacity_levels(summary);
    return summary;
}

void entry_engine::send_summaries(base::time_point now, effects& out) {
    auto summary = make_summary(now);
    const std::size_t bytes = message_size(summary) * m_links.size();
    m_next_summary =
        now + std::max<base::duration>(m_summary_limiter.interval_for(bytes), m_control.summary_interval);
    m_summaries.update(m_identity.name, summary, now);
    if (!m_links.empty()) {
        out.emplace_back(broadcast_to_peers{std::move(summary)});
    }
}

std::vector<std::string> entry_engine::regional_links() const {
    std::vector<std::string> links;
    for (const auto& link : m_links) {
        const auto* member = m_members.find(link);
        if (member != nullptr && member->record.region == m_identity.region) {
            links.push_back(link);
        }
    }
    return links;
}

// Tells the peers of the region at once that free slots appeared or ran out, within the byte rate limit.
void entry_engine::send_regional_summaries(base::time_point now, effects& out) {
    m_next_regional_summary = now + m_control.regional_summary_interval;
    if (m_requests.policy() == nullptr || capacity_levels(m_requests.summary(now)) == m_published_capacity) {
        return;
    }
    const auto links = regional_links();
    const auto summary = make_summary(now);
    const std::size_t bytes = message_size(summary) * links.size();
    if (!m_regional_summary_limiter.allows(bytes, now)) {
        m_published_capacity.clear(); // not sent; tried again at the next interval
        return;
    }
    m_regional_summary_limiter.spend(bytes, now);
    for (const auto& link : links) {
        out.emplace_back(send_to_peer{link, summary, std::nullopt});
    }
}

// The rate of a region is updated only while one of its entry instances is alive. When all are lost, the
// callers that arrive in other regions must not raise the allowance for their own move. The lowest of the
// recent rates is used: until a loss is noticed, the last summary of the lost entry instance and the arrivals
// of its callers at other ones count the same traffic twice.
void entry_engine::update_reference_rates(base::time_point now) {
    const auto* policy = m_requests.policy();
    if (policy == nullptr) {
        return;
    }
    std::set<std::string> live{m_identity.region};
    for (const auto& [name, member] : m_members.members()) {
        if (member.has_progressed && member.status == membership::member_status::alive) {
            live.insert(member.record.region);
        }
    }
    std::erase_if(m_rate_samples, [&live](const auto& item) { return !live.contains(item.first.second); });
    for (const auto& service : policy->content().services) {
        for (const auto& region : live) {
            update_reference_rate({service.name, region}, now);
        }
    }
    // Entry instances from which nothing is heard count as well, since they may be receiving the same
    // callers.
    m_requests.set_receiving_entries(static_cast<std::uint32_t>(m_members.members().size() + 1), now);
}

void entry_engine::update_reference_rate(const shifting::shift_key& key, base::time_point now) {
    const auto rate = m_summaries.region_rate(key.service, key.home_region, now);
    if (!rate || *rate <= 0.0) {
        return;
    }
    auto& samples = m_rate_samples[{key.service, key.home_region}];
    samples.emplace_back(now, *rate);
    while (now - samples.front().first > rate_sample_window) {
        samples.pop_front();
    }
    if (samples.size() >= minimum_rate_samples) {
        const auto lowest =
            std::min_element(samples.begin(), samples.end(),
                             [](const auto& one, const auto& other) { return one.second < other.second; });
        m_requests.set_reference_rate(key, lowest->second, now);
        m_known_rates.emplace(key.service, key.home_region);
    }
}

void entry_engine::request_policy(base::time_point now, effects& out) {
    if (const auto peer = m_policy_replica.next_peer_to_ask(now)) {
        out.emplace_back(send_to_peer{*peer, wire::policy_request{}, std::nullopt});
    }
}

void entry_engine::update_link_targets(effects& out) {
    auto targets = m_members.needed_links();
    for (auto& record : m_ownership.needed_links()) {
        const bool known = std::any_of(targets.begin(), targets.end(),
                                       [&record](const auto& target) { return target.name == record.name; });
        if (!known) {
            targets.push_back(std::move(record));
        }
    }
    if (targets != m_link_targets) {
        m_link_targets = targets;
        out.emplace_back(set_peer_targets{std::move(targets)});
    }
}

void entry_engine::update_store_watch(base::time_point now, effects& out) {
    const bool watches = m_policy_replica.choose_store_role(m_members) == membership::store_role::watcher;
    const auto wanted = watches ? store_watch::on : store_watch::off;
    if (wanted == m_store_watch) {
        return;
    }
    m_store_watch = wanted;
    if (!watches) {
        // From now on the summaries of the watchers report the list.
        schedule_list_expiry(m_identity.name, now);
    }
    out.emplace_back(set_store_watch{wanted});
}

// The list that a sender read stays in force for a while after the sender is gone. The next watcher of the
// store has to read the list first, and a leaving server must not get work until then.
void entry_engine::schedule_list_expiry(const std::string& sender, base::time_point now) {
    if (m_draining_by_sender.contains(sender)) {
        m_list_expiry_by_sender.emplace(sender, now + departed_sender_list_lifetime);
    }
}

void entry_engine::expire_instance_lists(base::time_point now, effects& out) {
    const auto expired = [now](const auto& item) { return item.second <= now; };
    for (const auto& item : m_list_expiry_by_sender) {
        if (expired(item)) {
            m_draining_by_sender.erase(item.first);
        }
    }
    if (std::erase_if(m_list_expiry_by_sender, expired) > 0) {
        apply_instance_lists(now, out);
    }
}

// Probes the servers of failure domains of the own region that have no live entry instance. An entry instance
// of another domain that reaches them may take them over.
void entry_engine::probe_takeover_candidates(base::time_point now, effects& out) {
    const auto* policy = m_requests.policy();
    if (policy == nullptr) {
        return;
    }
    std::set<std::string> live{m_identity.failure_domain};
    for (const auto& [name, member] : m_members.members()) {
        if (member.status == membership::member_status::alive) {
            live.insert(member.record.failure_domain);
        }
    }
    for (const auto& server : policy->content().servers) {
        const bool candidate = !live.contains(server.failure_domain) &&
                               policy->content().region_of(server.failure_domain) == m_identity.region;
        if (candidate) {
            out.emplace_back(probe_server{server.name, server.address});
        }
    }
    std::erase_if(m_last_reachable,
                  [now](const auto& item) { return now - item.second > reachability_lifetime; });
}

bool entry_engine::is_reachable(std::string_view server) const {
    return m_last_reachable.contains(std::string(server));
}

void entry_engine::broadcast_draining_servers(base::time_point, effects& out) {
    for (const auto& server : m_requests.take_draining_servers()) {
        base::log(base::log_level::info, "server-leaving",
                  {{"server", server}, {"evidence", "server-answer"}});
        out.emplace_back(broadcast_to_peers{wire::drain_notice{server, wire::drain_evidence::server_answer}});
    }
}

void entry_engine::link_up(const std::string& peer, const wire::hello& remote, base::time_point now,
                           effects& out) {
    m_members.link_up({remote.name, remote.failure_domain, remote.region, remote.incarnation,
                       remote.caller_address, remote.peer_address},
                      now);
    m_requests.peers().set_member(peer, remote.failure_domain, remote.region, remote.incarnation);
    m_requests.peers().set_link(peer, link_status::up);
    m_links.insert(peer);
    m_claims_sent.erase(peer);
    out.emplace_back(send_to_peer{peer, m_members.member_list(), std::nullopt});
    // The peer has missed the strikes that were sent without a link, and a new incarnation has none.
    for (const auto& record : m_requests.strikes(now)) {
        out.emplace_back(send_to_peer{peer, record, std::nullopt});
    }
    m_next_heartbeat = now;
    m_next_summary = now;
}

void entry_engine::link_down(const std::string& peer, base::time_point now, effects& out) {
    revalidate_after_pause(now, out);
    m_links.erase(peer);
    m_members.link_down(peer);
    m_claims_sent.erase(peer);
    m_requests.peers().set_link(peer, link_status::down);
    m_summaries.remove(peer);
}

void entry_engine::connect_failed(const std::string& peer, membership::contact_failure evidence,
                                  base::time_point now, effects& out) {
    revalidate_after_pause(now, out);
    m_members.connect_failed(peer, evidence, now);
    apply_member_changes(now, out);
}

void entry_engine::peer_message(const std::string& peer, wire::received_message message, base::time_point now,
                                effects& out) {
    revalidate_after_pause(now, out);
    const std::uint64_t incarnation = message.envelope.incarnation;
    m_members.message_received(peer, incarnation, now);
    m_policy_replica.observe_peer_revision(peer, message.envelope.policy_revision);
    m_peer_revisions[peer] = message.envelope.policy_revision;
    const message_context context{peer, incarnation, now, out};
    std::visit([this, &context](auto& content) { handle(context, content); }, message.message);
}

void entry_engine::handle(const message_context& context, wire::heartbeat& message) {
    m_members.heartbeat(context.peer, context.incarnation, message, context.now);
    if (message.claims) {
        for (const auto& claim : *message.claims) {
            if (claim.state == wire::claim_state::owned) {
                m_first_claimed.emplace(claim.server, context.now);
            }
        }
    }
    m_ownership.observe_heartbeat(context.peer, context.incarnation, message, context.now);
    m_requests.peers().set_state(context.peer, message.running == wire::running_state::stopping
                                                   ? config::administrative_state::draining
                                                   : config::administrative_state::active);
}

void entry_engine::handle(const message_context& context, wire::claims_request& message) {
    context.out.emplace_back(send_to_peer{
        context.peer,
        m_ownership.answer_claims_request(context.peer, context.incarnation, message, context.now),
        std::nullopt});
}

void entry_engine::handle(const message_context& context, wire::claims_report& message) {
    m_ownership.observe_report(context.peer, context.incarnation, message, context.now);
}

void entry_engine::handle(const message_context& context, wire::member_list& message) {
    bool changed = false;
    for (const auto& record : message.members) {
        if (record.name != m_identity.name && m_members.learn(record, context.now)) {
            m_requests.peers().set_member(record.name, record.failure_domain, record.region,
                                          record.incarnation);
            changed = true;
        }
    }
    if (changed) {
        context.out.emplace_back(broadcast_to_peers{m_members.member_list()});
        update_link_targets(context.out);
    }
}

void entry_engine::handle(const message_context& context, wire::entry_summary& message) {
    m_requests.peers().set_summary(context.peer, message, context.now);
    m_list_expiry_by_sender.erase(context.peer);
    auto& leaving = m_draining_by_sender[context.peer];
    leaving = {message.draining_servers.begin(), message.draining_servers.end()};
    m_summaries.update(context.peer, std::move(message), context.now);
    apply_instance_lists(context.now, context.out);
    m_requests.send_queued_to_peers(context.now, context.out);
}

void entry_engine::handle(const message_context& context, wire::policy_request&) {
    if (m_policy_replica.revision() > 0) {
        context.out.emplace_back(send_to_peer{
            context.peer, wire::policy_document{m_policy_replica.revision(), m_policy_replica.document()},
            std::nullopt});
    }
}

void entry_engine::handle(const message_context& context, wire::policy_document& message) {
    adopt_policy(message.revision, std::move(message.text), context.now, context.out);
}

void entry_engine::handle(const message_context& context, wire::forward_request& message) {
    m_requests.peer_request(context.peer, message.call, std::move(message.request), placement_scope::anywhere,
                            context.now, context.out);
}

void entry_engine::handle(const message_context& context, wire::execute_request& message) {
    m_requests.peer_request(context.peer, message.call, std::move(message.request),
                            placement_scope::local_only, context.now, context.out);
}

void entry_engine::handle(const message_context& context, wire::request_result& message) {
    m_requests.peer_result(context.peer, message.call, std::move(message.outcome), context.now, context.out);
}

void entry_engine::handle(const message_context& context, wire::cancel_request& message) {
    m_requests.peer_cancel(context.peer, message.call, context.now, context.out);
}

void entry_engine::handle(const message_context& context, wire::strike& message) {
    m_requests.merge_strike(message, context.now);
}

void entry_engine::handle(const message_context&, wire::strike_cleared& message) {
    m_requests.clear_strike(message);
}

void entry_engine::handle(const message_context& context, wire::drain_notice& message) {
    // Reports from the instance list are kept for each sender, so that the sender can withdraw them.
    if (message.evidence == wire::drain_evidence::instance_list) {
        m_draining_by_sender[context.peer].insert(message.server);
        apply_instance_lists(context.now, context.out);
        return;
    }
    m_requests.server_draining(message.server, message.evidence, context.now);
}

// Links handle these messages.
void entry_engine::handle(const message_context&, wire::hello&) {}
void entry_engine::handle(const message_context&, wire::hello_proof&) {}

} // namespace carawayway::engine
