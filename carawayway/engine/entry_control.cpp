// The periodic control work and the handling of peer messages.
#include "carawayway/base/log.hpp"
#include "carawayway/engine/entry_engine.hpp"
#include "carawayway/wire/message_codec.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace carawayway::engine {

namespace {

constexpr auto slow_work_interval = std::chrono::seconds(1);
// Changes of ownership come in bursts; one summary covers a burst.
constexpr auto summary_after_change = std::chrono::milliseconds(50);
// Longer than it takes to suspect an entry instance without a link.
constexpr auto rate_memory = std::chrono::seconds(4);
constexpr std::size_t rate_samples = 4;
constexpr auto list_grace = std::chrono::seconds(10);
constexpr auto reachability_lifetime = std::chrono::seconds(3);

constexpr int heartbeats_until_suspected = 4;

// Bytes of a message on a link, with the length prefix and a typical envelope.
std::size_t message_size(const wire::peer_message& message) {
    return wire::encode({"entry-name", 1, 1, 1}, message).size() + sizeof(std::uint32_t);
}

// For each service: no room, some room, or requests waiting. Only a change between these is urgent for peers.
std::vector<std::uint8_t> room_of(const wire::entry_summary& summary) {
    std::vector<std::uint8_t> rooms;
    for (const auto& service : summary.services) {
        const std::uint8_t waiting = service.queued > 0 ? 2 : 0;
        rooms.push_back(service.free_slots > 0 ? 1 : waiting);
    }
    return rooms;
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
    if (now >= m_next_slow_work) {
        m_next_slow_work = now + slow_work_interval;
        m_summaries.prune(now);
        update_shift_references(now);
        probe_foreign_servers(now, out);
        refresh_targets(out);
        refresh_store_watch(now, out);
        expire_lists(now, out);
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
            m_requests.peers().set_dead(change.name, member->record.incarnation);
        }
        if (membership::is_dead(change.after)) {
            retire_list(change.name, now);
            m_peer_revisions.erase(change.name);
            m_spread.forget_peer(change.name);
        }
    }
    if (!changes.empty()) {
        refresh_targets(out);
        refresh_store_watch(now, out);
    }
}

void entry_engine::apply_ownership(base::time_point now, effects& out) {
    for (const auto& change : m_ownership.tick(now)) {
        using enum membership::ownership_event;
        const bool dispatches = change.event == acquired || change.event == resumed;
        base::log(base::log_level::info, dispatches ? "server-owned" : "server-not-owned",
                  {{"server", change.server}});
        if (dispatches) {
            const auto served = m_served_since.find(change.server);
            const bool elsewhere = served != m_served_since.end();
            m_requests.server_owned(change.server, elsewhere ? now - served->second : base::duration::zero(),
                                    now, out);
        } else {
            m_requests.server_not_owned(change.server, now);
        }
        // Peers place requests by the summary: servers that were taken over are of no use before it arrives.
        m_next_summary = std::min<base::time_point>(m_next_summary, now + summary_after_change);
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
    const auto interval = std::clamp<base::duration>(
        m_heartbeat_bytes.spacing(bytes), m_control.heartbeat_interval, m_control.longest_heartbeat_interval);
    m_next_heartbeat = now + interval;
    m_members.set_suspect_after(
        std::max<base::duration>(m_control.members.suspect_after, heartbeats_until_suspected * interval));
}

wire::entry_summary entry_engine::make_summary(base::time_point now) {
    auto summary = m_requests.summary(now);
    const auto own = m_list_draining.find(m_identity.name);
    if (own != m_list_draining.end()) {
        summary.draining_servers.assign(own->second.begin(), own->second.end());
    }
    m_published_room = room_of(summary);
    return summary;
}

void entry_engine::send_summaries(base::time_point now, effects& out) {
    auto summary = make_summary(now);
    const std::size_t bytes = message_size(summary) * m_links.size();
    m_next_summary =
        now + std::max<base::duration>(m_summary_bytes.spacing(bytes), m_control.summary_interval);
    m_summaries.update(m_identity.name, summary, now);
    if (!m_links.empty()) {
        out.emplace_back(broadcast_to_peers{std::move(summary)});
    }
}

std::vector<std::string> entry_engine::near_links() const {
    std::vector<std::string> near;
    for (const auto& link : m_links) {
        const auto* member = m_members.find(link);
        if (member != nullptr && member->record.region == m_identity.region) {
            near.push_back(link);
        }
    }
    return near;
}

// Peers of the region learn at once that room appeared or was used up, as long as the bytes allow it.
void entry_engine::send_near_summaries(base::time_point now, effects& out) {
    m_next_near_summary = now + m_control.near_summary_interval;
    if (m_requests.policy() == nullptr || room_of(m_requests.summary(now)) == m_published_room) {
        return;
    }
    const auto near = near_links();
    const auto summary = make_summary(now);
    const std::size_t bytes = message_size(summary) * near.size();
    if (!m_near_summary_bytes.allows(bytes, now)) {
        m_published_room.clear(); // not published: tried again
        return;
    }
    m_near_summary_bytes.spend(bytes, now);
    for (const auto& link : near) {
        out.emplace_back(send_to_peer{link, summary, std::nullopt});
    }
}

// The rate of a region is only learned while one of its entry instances is alive: when they are all gone, the
// callers that arrive elsewhere must not raise the allowance for their own move. The lowest of the recent
// rates counts, since the last summary of a lost entry instance and the arrivals of its callers elsewhere add
// up to too much until the loss is noticed.
void entry_engine::update_shift_references(base::time_point now) {
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
            learn_rate({service.name, region}, now);
        }
    }
    // Every known entry instance counts, also one that is not heard: it may be receiving the same callers.
    m_requests.set_receiving_entries(static_cast<std::uint32_t>(m_members.members().size() + 1), now);
}

void entry_engine::learn_rate(const shifting::shift_key& key, base::time_point now) {
    const auto rate = m_summaries.region_rate(key.service, key.home_region, now);
    if (!rate || *rate <= 0.0) {
        return;
    }
    auto& samples = m_rate_samples[{key.service, key.home_region}];
    samples.emplace_back(now, *rate);
    while (now - samples.front().first > rate_memory) {
        samples.pop_front();
    }
    if (samples.size() >= rate_samples) {
        const auto lowest =
            std::min_element(samples.begin(), samples.end(),
                             [](const auto& one, const auto& other) { return one.second < other.second; });
        m_requests.set_reference_rate(key, lowest->second, now);
        m_known_rates.emplace(key.service, key.home_region);
    }
}

void entry_engine::request_policy(base::time_point now, effects& out) {
    if (const auto peer = m_spread.next_peer_to_ask(now)) {
        out.emplace_back(send_to_peer{*peer, wire::policy_request{}, std::nullopt});
    }
}

void entry_engine::refresh_targets(effects& out) {
    auto targets = m_members.needed_links();
    for (auto& record : m_ownership.needed_links()) {
        const bool known = std::any_of(targets.begin(), targets.end(),
                                       [&record](const auto& target) { return target.name == record.name; });
        if (!known) {
            targets.push_back(std::move(record));
        }
    }
    if (targets != m_targets) {
        m_targets = targets;
        out.emplace_back(set_peer_targets{std::move(targets)});
    }
}

void entry_engine::refresh_store_watch(base::time_point now, effects& out) {
    const bool watches = m_spread.choose_store_role(m_members) == membership::store_role::watcher;
    const auto wanted = watches ? store_watch::on : store_watch::off;
    if (wanted == m_store_watch) {
        return;
    }
    m_store_watch = wanted;
    if (!watches) {
        retire_list(m_identity.name, now); // the watchers' summaries carry it from now on
    }
    out.emplace_back(set_store_watch{wanted});
}

// What a sender read stays in force for a while after the sender is gone: the next watcher of the store first
// has to read the list, and a leaving server must not get work in between.
void entry_engine::retire_list(const std::string& sender, base::time_point now) {
    if (m_list_draining.contains(sender)) {
        m_list_expiry.emplace(sender, now + list_grace);
    }
}

void entry_engine::expire_lists(base::time_point now, effects& out) {
    const auto expired = [now](const auto& item) { return item.second <= now; };
    for (const auto& item : m_list_expiry) {
        if (expired(item)) {
            m_list_draining.erase(item.first);
        }
    }
    if (std::erase_if(m_list_expiry, expired) > 0) {
        apply_list_draining(now, out);
    }
}

// Servers of a failure domain whose entry instances are all gone may be taken over by a neighbour that
// reaches them.
void entry_engine::probe_foreign_servers(base::time_point now, effects& out) {
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
    std::erase_if(m_reachable, [now](const auto& item) { return now - item.second > reachability_lifetime; });
}

bool entry_engine::reachable(std::string_view server) const {
    return m_reachable.contains(std::string(server));
}

void entry_engine::publish_drain_evidence(base::time_point, effects& out) {
    for (const auto& server : m_requests.take_drain_evidence()) {
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
    // Strikes that were sent while there was no link are lost, and a new incarnation knows none.
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
    m_spread.observe_peer_revision(peer, message.envelope.policy_revision);
    m_peer_revisions[peer] = message.envelope.policy_revision;
    const message_context context{peer, incarnation, now, out};
    std::visit([this, &context](auto& content) { handle(context, content); }, message.message);
}

void entry_engine::handle(const message_context& context, wire::heartbeat& message) {
    m_members.heartbeat(context.peer, context.incarnation, message, context.now);
    if (message.claims) {
        for (const auto& claim : *message.claims) {
            if (claim.state == wire::claim_state::owned) {
                m_served_since.emplace(claim.server, context.now);
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
    bool news = false;
    for (const auto& record : message.members) {
        if (record.name != m_identity.name && m_members.learn(record, context.now)) {
            m_requests.peers().set_member(record.name, record.failure_domain, record.region,
                                          record.incarnation);
            news = true;
        }
    }
    if (news) {
        context.out.emplace_back(broadcast_to_peers{m_members.member_list()});
        refresh_targets(context.out);
    }
}

void entry_engine::handle(const message_context& context, wire::entry_summary& message) {
    m_requests.peers().set_summary(context.peer, message, context.now);
    m_list_expiry.erase(context.peer);
    auto& leaving = m_list_draining[context.peer];
    leaving = {message.draining_servers.begin(), message.draining_servers.end()};
    m_summaries.update(context.peer, std::move(message), context.now);
    apply_list_draining(context.now, context.out);
    m_requests.pass_on_waiting(context.now, context.out);
}

void entry_engine::handle(const message_context& context, wire::policy_request&) {
    if (m_spread.revision() > 0) {
        context.out.emplace_back(send_to_peer{
            context.peer, wire::policy_document{m_spread.revision(), m_spread.document()}, std::nullopt});
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
    // What the platform's list shows is kept per sender, so that it can be withdrawn.
    if (message.evidence == wire::drain_evidence::instance_list) {
        m_list_draining[context.peer].insert(message.server);
        apply_list_draining(context.now, context.out);
        return;
    }
    m_requests.server_draining(message.server, message.evidence, context.now);
}

// Links consume these themselves.
void entry_engine::handle(const message_context&, wire::hello&) {}
void entry_engine::handle(const message_context&, wire::hello_proof&) {}

} // namespace carawayway::engine
