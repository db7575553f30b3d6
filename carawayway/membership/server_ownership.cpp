// Two-step claims: claims of peers, dead owners, conflicts, confirmation rounds, and pauses of this process.
#include "carawayway/membership/server_ownership.hpp"

#include "carawayway/base/hash.hpp"
#include "carawayway/membership/claim_states.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carawayway::membership {

using wire::claim_state;

server_ownership::server_ownership(const member_table& members, ownership_settings settings,
                                   in_flight_count in_flight, reachability reachable, base::time_point now)
    : m_members(members), m_settings(settings), m_in_flight(std::move(in_flight)),
      m_reachable(std::move(reachable)), m_last_tick(now), m_awake_since(now), m_pause_started(now),
      m_started_at(now), m_unclaimed_hold_until(now) {}

void server_ownership::configure(const std::vector<claimable_server>& servers,
                                 base::duration longest_timeout) {
    m_servers.clear();
    for (const auto& server : servers) {
        m_servers.emplace(server.name, server);
    }
    m_longest_timeout = longest_timeout;
    m_configured = true;
}

void server_ownership::stop() {
    m_stopping = true;
    std::vector<std::string> servers;
    for (const auto& [server, claim] : m_claims) {
        servers.push_back(server);
    }
    for (const auto& server : servers) {
        release(server);
    }
    publish();
}

// ---- claims of peers ----

void server_ownership::observe_claims(std::string_view entry, std::uint64_t incarnation,
                                      std::uint64_t version, const std::vector<wire::server_claim>& claims) {
    const member* sender = m_members.find(entry);
    if (sender == nullptr || sender->record.incarnation != incarnation) {
        return;
    }
    peer_claims& view = m_peers[std::string(entry)];
    assert(view.incarnation == incarnation); // ensured by apply_status_of()
    if (version < view.version) {
        return;
    }
    erase_peer_claims(entry, view);
    view.version = version;
    view.known = true;
    view.dead = false;
    for (const auto& claim : claims) {
        view.claims.emplace(claim.server, claim);
        m_claimants[claim.server].emplace(entry);
        std::uint64_t& epoch = m_epochs[claim.server];
        epoch = std::max(epoch, claim.epoch);
    }
    resolve_conflicts();
}

void server_ownership::observe_heartbeat(std::string_view entry, std::uint64_t incarnation,
                                         const wire::heartbeat& message, base::time_point now) {
    detect_pause(now);
    apply_status_of(entry, now);
    if (message.claims.has_value()) {
        observe_claims(entry, incarnation, message.claims_version, *message.claims);
        publish();
        return;
    }
    const auto view = m_peers.find(entry);
    if (view != m_peers.end() && view->second.version < message.claims_version) {
        view->second.known = false; // so that the claims are requested
    }
}

wire::claims_report server_ownership::answer_claims_request(std::string_view entry, std::uint64_t incarnation,
                                                            const wire::claims_request& request,
                                                            base::time_point now) {
    detect_pause(now);
    apply_status_of(entry, now);
    observe_claims(entry, incarnation, request.claims_version, request.claims);
    publish();
    wire::claims_report report{request.token, m_claims_version, m_published_claims, {}};
    for (const auto& claim : request.claims) {
        const auto claimants = m_claimants.find(claim.server);
        if (claimants == m_claimants.end()) {
            continue;
        }
        for (const auto& name : claimants->second) {
            const peer_claims& view = m_peers.at(name);
            if (name != entry) {
                report.known.push_back({name, view.incarnation, view.claims.at(claim.server)});
            }
        }
    }
    return report;
}

void server_ownership::observe_report(std::string_view entry, std::uint64_t incarnation,
                                      const wire::claims_report& report, base::time_point now) {
    detect_pause(now);
    apply_status_of(entry, now);
    observe_claims(entry, incarnation, report.claims_version, report.claims);
    const member* sender = m_members.find(entry);
    const bool current = sender != nullptr && sender->record.incarnation == incarnation;
    if (current && m_round.has_value() && m_round->token == report.token) {
        yield_to_unasked_entries(report, now);
        m_round->pending_peers.erase(std::string(entry));
    }
    publish();
}

// Releases own claims that lose against claims which only the peer can report: those of entry instances that
// this one does not ask itself.
void server_ownership::yield_to_unasked_entries(const wire::claims_report& report, base::time_point now) {
    for (const auto& known : report.known) {
        const auto own = m_claims.find(known.claim.server);
        const bool asked = own != m_claims.end() && m_round->servers.contains(known.claim.server);
        if (asked && is_from_unasked_entry(known) &&
            must_yield(known.claim.server, own->second, known.entry, known.claim)) {
            release(known.claim.server);
            m_next_proposal[known.claim.server] = now + m_settings.revalidation_time;
        }
    }
}

bool server_ownership::is_from_unasked_entry(const wire::entry_claim& known) const {
    if (known.entry == m_members.self().name) {
        return false;
    }
    const member* owner = m_members.find(known.entry);
    if (owner == nullptr || owner->record.incarnation != known.incarnation) {
        return true;
    }
    return !is_dead(owner->status) && !takes_part_in_rounds(*owner);
}

void server_ownership::erase_peer_claims(std::string_view entry, peer_claims& view) {
    for (const auto& [server, claim] : view.claims) {
        const auto claimants = m_claimants.find(server);
        claimants->second.erase(std::string(entry));
        if (claimants->second.empty()) {
            m_claimants.erase(claimants);
        }
    }
    view.claims.clear();
}

// ---- dead owners and pauses ----

// Requests of a dead entry instance may run on its servers until `until`. If its claims are not known, this
// may be any server.
void server_ownership::reserve_servers(std::string_view entry, peer_claims& view, base::time_point until) {
    if (!view.known) {
        m_unclaimed_hold_until = std::max(m_unclaimed_hold_until, until);
    }
    for (const auto& [server, claim] : view.claims) {
        base::time_point& reserved = m_reserved_until[server];
        reserved = std::max(reserved, until);
    }
    erase_peer_claims(entry, view);
    view.known = false;
    view.version = 0;
}

void server_ownership::apply_member_status(const member& entry, base::time_point now) {
    const auto& record = entry.record;
    const base::duration certain_wait = m_longest_timeout + m_settings.certain_death_margin;
    const auto [found, inserted] = m_peers.try_emplace(record.name);
    peer_claims& view = found->second;
    if (view.incarnation != record.incarnation) {
        if (view.incarnation != 0 && !view.dead) {
            reserve_servers(record.name, view, now + certain_wait);
        }
        view = {};
        view.incarnation = record.incarnation;
    }
    if (!is_dead(entry.status)) {
        view.dead = false;
        return;
    }
    if (view.dead) {
        return;
    }
    if (entry.status == member_status::dead_certain) {
        reserve_servers(record.name, view, entry.status_since + certain_wait);
    } else {
        // The silence limit already covers the term and the longest request timeout, so nothing is reserved
        // beyond now.
        reserve_servers(record.name, view, now);
    }
    view.dead = true;
}

// An entry instance that claims servers of another failure domain keeps a link to all members of that domain.
// Without a link for the duration of a takeover, its last reported claims are outdated.
void server_ownership::erase_outdated_claims(const member& entry, peer_claims& view, base::time_point now) {
    if (entry.linked || entry.record.failure_domain == m_members.self().failure_domain) {
        view.last_linked_at = now;
    } else if (now - view.last_linked_at >= m_settings.term + m_longest_timeout) {
        erase_peer_claims(entry.record.name, view);
    }
}

void server_ownership::apply_status_of(std::string_view entry, base::time_point now) {
    const member* known = m_members.find(entry);
    if (known != nullptr) {
        apply_member_status(*known, now);
    }
}

void server_ownership::apply_member_statuses(base::time_point now) {
    for (const auto& [name, entry] : m_members.members()) {
        apply_member_status(entry, now);
        erase_outdated_claims(entry, m_peers.at(name), now);
    }
    for (auto view = m_peers.begin(); view != m_peers.end();) {
        if (m_members.find(view->first) == nullptr) {
            erase_peer_claims(view->first, view->second);
            view = m_peers.erase(view);
        } else {
            ++view;
        }
    }
}

// After a pause, others may own the servers, and this entry instance may have missed claims and deaths.
// During a long pause, another owner may even have taken over and died, with requests still running that no
// live peer reports. Pauses in quick succession count as one, because the peers may have received nothing in
// between.
void server_ownership::detect_pause(base::time_point now) {
    if (now - m_last_tick <= m_settings.pause_limit) {
        return;
    }
    if (m_last_tick - m_awake_since > m_settings.revalidation_time) {
        m_pause_started = m_last_tick;
    }
    m_awake_since = now;
    m_last_tick = now;
    const base::time_point last_requests_end = now + m_longest_timeout + m_settings.certain_death_margin;
    const bool may_be_replaced = now - m_pause_started >= m_settings.term;
    m_round.reset();
    std::erase_if(m_claims, [](const auto& item) { return item.second.state == claim_state::proposed; });
    for (auto& [server, claim] : m_claims) {
        if (claim.state == claim_state::owned) {
            claim.state = claim_state::unconfirmed;
        }
        claim.confirmed = false;
        claim.not_before = may_be_replaced ? last_requests_end : claim.not_before;
    }
    m_unclaimed_hold_until = std::max(m_unclaimed_hold_until, last_requests_end);
    m_unclaimed_since.clear();
    for (auto& [name, view] : m_peers) {
        view.last_linked_at = now;
    }
    publish();
}

// The wait after the start covers requests of the previous process and of owners that died before this
// process started. It is extended while a peer has neither answered nor is known to be dead, so that a paused
// owner is not missed.
void server_ownership::update_start_complete(base::time_point now) {
    if (m_start_complete || !m_configured) {
        return;
    }
    if (m_settings.hold == start_hold::wait) {
        if (now < m_started_at + m_longest_timeout + m_settings.certain_death_margin) {
            return;
        }
        for (const auto& name : round_peers()) {
            if (!m_peers.at(name).known) {
                return;
            }
        }
    }
    m_start_complete = true;
}

// ---- conflicts ----

// Whether the own claim loses against another one. Both sides reach the same decision from the claims they
// exchanged.
bool server_ownership::must_yield(std::string_view server, const local_claim& own, std::string_view entry,
                                  const wire::server_claim& other) const {
    if (is_established(own.state) != is_established(other.state)) {
        return is_established(other.state);
    }
    if (own.epoch != other.epoch) {
        return other.epoch > own.epoch;
    }
    const std::string& self = m_members.self().name;
    return std::pair(base::rendezvous_rank(server, entry), entry) >
           std::pair(base::rendezvous_rank(server, self), std::string_view(self));
}

void server_ownership::resolve_conflict(const std::string& server, local_claim& claim) {
    claim.contested = false;
    const auto claimants = m_claimants.find(server);
    if (claimants == m_claimants.end() || claim.state == claim_state::releasing) {
        return;
    }
    for (const auto& entry : claimants->second) {
        const wire::server_claim& other = m_peers.at(entry).claims.at(server);
        if (must_yield(server, claim, entry, other)) {
            release(server);
            return;
        }
        // The winner waits until the other entry instance has no requests left on the server.
        claim.contested = claim.contested || is_established(other.state);
    }
}

void server_ownership::resolve_conflicts() {
    for (auto claim = m_claims.begin(); claim != m_claims.end();) {
        const auto current = claim++; // resolve_conflict() may erase it
        resolve_conflict(std::string(current->first), current->second);
    }
}

// ---- confirmation ----

bool server_ownership::takes_part_in_rounds(const member& entry) const {
    const auto& self = m_members.self();
    if (is_dead(entry.status)) {
        return false;
    }
    if (entry.record.failure_domain == self.failure_domain) {
        return true;
    }
    const bool delegates =
        m_members.is_region_delegate(entry.record.name) && m_members.is_region_delegate(self.name);
    return entry.record.region == self.region && (entry.linked || delegates);
}

std::vector<std::string> server_ownership::round_peers() const {
    std::vector<std::string> peers;
    for (const auto& [name, entry] : m_members.members()) {
        if (takes_part_in_rounds(entry)) {
            peers.push_back(name);
        }
    }
    return peers;
}

void server_ownership::start_round(base::time_point now) {
    if (m_round.has_value()) {
        return;
    }
    confirmation_round round;
    for (const auto& [server, claim] : m_claims) {
        if (is_pending(claim.state) && !claim.confirmed) {
            round.servers.insert(server);
        }
    }
    if (round.servers.empty()) {
        return;
    }
    round.token = m_next_token++;
    round.started = now;
    for (auto& name : round_peers()) {
        m_peers.at(name).next_request_at = now;
        round.pending_peers.insert(std::move(name));
    }
    m_round = std::move(round);
}

void server_ownership::finish_round(base::time_point now) {
    if (!m_round.has_value()) {
        return;
    }
    std::erase_if(m_round->pending_peers, [this](const auto& name) { return !m_members.is_live(name); });
    if (!m_round->pending_peers.empty() && now - m_round->started < m_settings.revalidation_time) {
        return;
    }
    for (const auto& server : m_round->servers) {
        const auto claim = m_claims.find(server);
        if (claim != m_claims.end() && is_pending(claim->second.state)) {
            claim->second.confirmed = true;
        }
    }
    m_round.reset();
}

std::vector<wire::member_record> server_ownership::needed_links() const {
    std::set<std::string_view> domains;
    for (const auto& [server, claim] : m_claims) {
        const auto spec = m_servers.find(server);
        if (spec != m_servers.end() && spec->second.failure_domain != m_members.self().failure_domain) {
            domains.insert(spec->second.failure_domain);
        }
    }
    std::vector<wire::member_record> needed;
    for (const auto& [name, entry] : m_members.members()) {
        if (domains.contains(entry.record.failure_domain)) {
            needed.push_back(entry.record);
        }
    }
    return needed;
}

void server_ownership::acquire_confirmed_claims(base::time_point now) {
    for (auto& [server, claim] : m_claims) {
        const bool agreed = is_pending(claim.state) && claim.confirmed && now >= claim.not_before;
        if (agreed && !m_claimants.contains(server)) {
            claim.state = claim_state::owned;
            claim.confirmed = false;
        }
    }
}

std::vector<outgoing_claims_request> server_ownership::take_claims_requests(base::time_point now) {
    std::vector<outgoing_claims_request> requests;
    for (const auto& name : round_peers()) {
        const auto found = m_peers.find(name);
        if (found == m_peers.end()) {
            continue;
        }
        peer_claims& view = found->second;
        const bool in_round = m_round.has_value() && m_round->pending_peers.contains(name);
        if ((!in_round && view.known) || now < view.next_request_at) {
            continue;
        }
        view.next_request_at = now + m_settings.request_interval;
        requests.push_back({name, {in_round ? m_round->token : 0, m_claims_version, m_published_claims}});
    }
    return requests;
}

// ---- reporting ----

void server_ownership::queue_ownership_changes() {
    for (auto& [server, claim] : m_claims) {
        const bool may_dispatch = claim.state == claim_state::owned && !claim.contested;
        if (may_dispatch == claim.usable_reported) {
            continue;
        }
        claim.usable_reported = may_dispatch;
        if (!may_dispatch) {
            m_changes.push_back({server, ownership_event::suspended});
        } else {
            m_changes.push_back(
                {server, claim.acquired_reported ? ownership_event::resumed : ownership_event::acquired});
            claim.acquired_reported = true;
        }
    }
}

void server_ownership::publish() {
    std::vector<wire::server_claim> claims;
    claims.reserve(m_claims.size());
    for (const auto& [server, claim] : m_claims) {
        claims.push_back({server, claim.epoch, claim.state});
    }
    if (claims != m_published_claims) {
        m_published_claims = std::move(claims);
        ++m_claims_version;
    }
}

std::vector<ownership_change> server_ownership::tick(base::time_point now) {
    detect_pause(now);
    m_last_tick = now;
    apply_member_statuses(now);
    update_start_complete(now);
    release_removed_servers();
    resolve_conflicts();
    finish_round(now);
    acquire_confirmed_claims(now);
    release_surplus(now);
    finish_releases();
    propose_claims(now);
    start_round(now);
    // Without peers to ask, the round ends at once.
    finish_round(now);
    acquire_confirmed_claims(now);
    queue_ownership_changes();
    publish();
    return std::exchange(m_changes, {});
}

bool server_ownership::owns(std::string_view server, base::time_point now) const {
    const auto claim = m_claims.find(server);
    return claim != m_claims.end() && claim->second.state == claim_state::owned && !claim->second.contested &&
           now - m_last_tick <= m_settings.pause_limit;
}

} // namespace carawayway::membership
