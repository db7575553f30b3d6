// Status of the members and choice of links. Only a direct link replaces an incarnation immediately and
// permanently. An incarnation known from relayed counters must first show progress and can be replaced again,
// because relayed counters of a dead incarnation can arrive late, especially after a pause of this process.
#include "carawayway/membership/member_table.hpp"

#include "carawayway/base/hash.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace carawayway::membership {

namespace {

std::string region_key(std::string_view region) {
    return fmt::format("region {}", region);
}

std::string domain_pair_key(std::string_view one, std::string_view other) {
    return fmt::format("domains {} {}", std::min(one, other), std::max(one, other));
}

} // namespace

std::string_view to_string(member_status status) {
    switch (status) {
    case member_status::alive:
        return "alive";
    case member_status::suspected:
        return "suspected";
    case member_status::paused:
        return "paused";
    case member_status::dead_certain:
        return "dead-certain";
    case member_status::dead_by_silence:
        break;
    }
    return "dead-by-silence";
}

member_table::member_table(wire::member_record self, member_settings settings, base::time_point now)
    : m_self(std::move(self)), m_settings(settings), m_last_tick(now) {}

member& member_table::insert(const wire::member_record& record, base::time_point now) {
    m_delegates.clear();
    member& entry = m_members[record.name];
    entry.record = record;
    entry.last_progress = now;
    entry.status_since = now;
    return entry;
}

void member_table::add_seed(const wire::member_record& seed, base::time_point now) {
    if (seed.name == m_self.name) {
        return;
    }
    const auto found = m_members.find(seed.name);
    member& entry = found == m_members.end() ? insert(seed, now) : found->second;
    entry.seed = true;
}

bool member_table::learn(const wire::member_record& record, base::time_point now) {
    if (record.name == m_self.name) {
        return false;
    }
    const auto found = m_members.find(record.name);
    if (found == m_members.end()) {
        insert(record, now);
        return true;
    }
    member& entry = found->second;
    const bool replaced = m_replaced_incarnations.contains({record.name, record.incarnation});
    if (record.incarnation == 0 || record.incarnation == entry.record.incarnation || replaced) {
        return false;
    }
    if (entry.record.incarnation == 0) {
        entry.record = record;
        m_delegates.clear();
    } else if (is_dead(entry.status)) {
        replace_incarnation(entry, record, now);
    }
    return false;
}

void member_table::link_up(const wire::member_record& record, base::time_point now) {
    const auto found = m_members.find(record.name);
    member& entry = found == m_members.end() ? insert(record, now) : found->second;
    m_replaced_incarnations.erase({record.name, record.incarnation});
    if (entry.record.incarnation != record.incarnation) {
        m_replaced_incarnations.insert({record.name, entry.record.incarnation});
        replace_incarnation(entry, record, now);
    }
    entry.record = record;
    m_delegates.clear();
    entry.linked = true;
    record_progress(entry, now);
}

void member_table::link_down(std::string_view name) {
    const auto found = m_members.find(name);
    if (found != m_members.end()) {
        found->second.linked = false;
    }
}

void member_table::replace_incarnation(member& entry, const wire::member_record& record,
                                       base::time_point now) {
    entry.record = record;
    m_delegates.clear();
    entry.counter = 0;
    entry.has_progressed = false;
    entry.linked = false;
    entry.contact_failed = false;
    entry.running = wire::running_state::running;
    entry.last_progress = now;
    set_status(entry, member_status::suspected, now);
}

void member_table::message_received(std::string_view name, std::uint64_t incarnation, base::time_point now) {
    const auto found = m_members.find(name);
    if (found != m_members.end() && found->second.record.incarnation == incarnation) {
        record_progress(found->second, now);
    }
}

void member_table::heartbeat(std::string_view name, std::uint64_t incarnation, const wire::heartbeat& message,
                             base::time_point now) {
    const auto found = m_members.find(name);
    if (found == m_members.end() || found->second.record.incarnation != incarnation) {
        return;
    }
    member& entry = found->second;
    entry.running = message.running;
    entry.counter = std::max(entry.counter, message.counter);
    entry.direct_counter_at = now;
    record_progress(entry, now);
    for (const auto& counter : message.relayed) {
        apply_relayed_counter(entry, counter, now);
    }
}

void member_table::apply_relayed_counter(const member& sender, const wire::relayed_counter& message,
                                         base::time_point now) {
    const auto found = m_members.find(message.entry);
    if (found == m_members.end() || m_replaced_incarnations.contains({message.entry, message.incarnation})) {
        return;
    }
    member& entry = found->second;
    if (entry.record.incarnation == message.incarnation) {
        // The first counter received is no progress: it may be the last one of a dead process.
        const bool grew = entry.counter != 0 && message.counter > entry.counter;
        entry.counter = std::max(entry.counter, message.counter);
        if (grew) {
            const bool sender_in_same_domain = sender.record.failure_domain == entry.record.failure_domain;
            entry.direct_counter_at = sender_in_same_domain ? now : entry.direct_counter_at;
            record_progress(entry, now);
        }
        return;
    }
    if (entry.linked) {
        return;
    }
    relayed_incarnation& other = m_relayed_incarnations[message.entry];
    if (other.incarnation == message.incarnation && message.counter > other.counter) {
        wire::member_record record = entry.record;
        record.incarnation = message.incarnation;
        replace_incarnation(entry, record, now);
        entry.counter = message.counter;
        record_progress(entry, now);
        m_relayed_incarnations.erase(message.entry);
        return;
    }
    other = {message.incarnation, message.counter};
}

void member_table::record_progress(member& entry, base::time_point now) {
    entry.last_progress = now;
    entry.has_progressed = true;
    entry.contact_failed = false;
    set_status(entry, member_status::alive, now);
}

void member_table::set_status(member& entry, member_status status, base::time_point now) {
    if (entry.status == status) {
        return;
    }
    m_changes.push_back({entry.record.name, entry.status, status});
    entry.status = status;
    entry.status_since = now;
    m_delegates.clear();
}

void member_table::connect_failed(std::string_view name, contact_failure failure, base::time_point now) {
    const auto found = m_members.find(name);
    if (found == m_members.end()) {
        return;
    }
    member& entry = found->second;
    entry.contact_failed = true;
    if (failure == contact_failure::refused) {
        set_status(entry, member_status::dead_certain, now);
    } else if (failure == contact_failure::handshake_timed_out && entry.status == member_status::suspected) {
        set_status(entry, member_status::paused, now);
    }
}

std::vector<member_change> member_table::tick(base::time_point now) {
    const base::duration gap = now - m_last_tick;
    m_last_tick = now;
    if (gap > m_settings.pause_limit) {
        for (auto& [name, entry] : m_members) {
            entry.last_progress = std::min(entry.last_progress + gap, now);
        }
    }
    for (auto& [name, entry] : m_members) {
        const base::duration silence = now - entry.last_progress;
        const base::duration suspicion =
            entry.linked ? m_settings.suspect_after : m_settings.suspect_unlinked_after;
        if (entry.status == member_status::dead_certain) {
            continue;
        }
        if (silence >= m_settings.silence_limit) {
            set_status(entry, member_status::dead_by_silence, now);
        } else if (silence >= suspicion && entry.status == member_status::alive) {
            set_status(entry, member_status::suspected, now);
        }
    }
    const auto forgotten = std::erase_if(m_members, [this, now](const auto& item) {
        const member& entry = item.second;
        return !entry.seed && is_dead(entry.status) && now - entry.status_since > m_settings.forget_after;
    });
    if (forgotten > 0) {
        m_delegates.clear();
    }
    return std::exchange(m_changes, {});
}

const member* member_table::find(std::string_view name) const {
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

bool member_table::is_live(std::string_view name) const {
    const member* entry = find(name);
    return entry != nullptr && !is_dead(entry->status);
}

// The entry instances of the domain with the highest rendezvous ranks for the key. Alive members come before
// suspected and paused ones, and these before dead ones. Dead members are chosen if there are no others, so
// that links to their domain are still attempted and its return is noticed.
std::vector<const wire::member_record*> member_table::choose_delegates(std::string_view domain,
                                                                       std::string_view key) const {
    struct choice {
        int status_class = 0; // 0: alive, 1: suspected or paused, 2: dead
        std::uint64_t rank = 0;
        const wire::member_record* record = nullptr;
    };
    std::vector<choice> choices;
    if (m_self.failure_domain == domain) {
        choices.push_back({0, base::rendezvous_rank(key, m_self.name), &m_self});
    }
    for (const auto& [name, entry] : m_members) {
        if (entry.record.failure_domain == domain) {
            const int status_class = entry.status == member_status::alive ? 0 : is_dead(entry.status) ? 2 : 1;
            choices.push_back({status_class, base::rendezvous_rank(key, name), &entry.record});
        }
    }
    std::sort(choices.begin(), choices.end(), [](const choice& left, const choice& right) {
        return left.status_class != right.status_class ? left.status_class < right.status_class
                                                       : left.rank > right.rank;
    });
    choices.resize(std::min(choices.size(), m_settings.delegates));
    std::vector<const wire::member_record*> chosen;
    chosen.reserve(choices.size());
    for (const auto& selected : choices) {
        chosen.push_back(selected.record);
    }
    return chosen;
}

const std::vector<const wire::member_record*>& member_table::delegates_of(std::string_view domain,
                                                                          std::string_view key) const {
    const auto [found, inserted] = m_delegates.try_emplace({std::string(domain), std::string(key)});
    if (inserted) {
        found->second = choose_delegates(domain, key);
    }
    return found->second;
}

bool member_table::is_delegate(std::string_view name, std::string_view domain, std::string_view key) const {
    const auto& chosen = delegates_of(domain, key);
    return std::any_of(chosen.begin(), chosen.end(),
                       [name](const auto* record) { return record->name == name; });
}

bool member_table::is_region_delegate(std::string_view name) const {
    if (m_members.size() + 1 <= m_settings.full_mesh_limit) {
        return true;
    }
    const member* entry = find(name);
    const wire::member_record& record = entry == nullptr ? m_self : entry->record;
    return is_delegate(name, record.failure_domain, region_key(record.region));
}

void member_table::add_domain_records(std::vector<wire::member_record>& records,
                                      std::string_view domain) const {
    for (const auto& [name, entry] : m_members) {
        if (entry.record.failure_domain == domain) {
            records.push_back(entry.record);
        }
    }
}

std::vector<wire::member_record> member_table::needed_links() const {
    std::vector<wire::member_record> needed;
    if (m_members.size() + 1 <= m_settings.full_mesh_limit) {
        for (const auto& [name, entry] : m_members) {
            needed.push_back(entry.record);
        }
        return needed;
    }
    std::map<std::string_view, std::string_view> other_domains; // domain -> region
    for (const auto& [name, entry] : m_members) {
        if (entry.record.failure_domain == m_self.failure_domain) {
            needed.push_back(entry.record);
        } else {
            other_domains.emplace(entry.record.failure_domain, entry.record.region);
        }
    }
    for (const auto& [domain, region] : other_domains) {
        const std::string key =
            region == m_self.region ? region_key(region) : domain_pair_key(domain, m_self.failure_domain);
        if (!is_delegate(m_self.name, m_self.failure_domain, key)) {
            continue;
        }
        const auto& chosen = delegates_of(domain, key);
        const bool all_alive = std::all_of(chosen.begin(), chosen.end(), [this](const auto* record) {
            return m_members.find(record->name)->second.status == member_status::alive;
        });
        if (region == m_self.region && !all_alive) {
            add_domain_records(needed, domain);
            continue;
        }
        for (const auto* record : chosen) {
            needed.push_back(*record);
        }
    }
    return needed;
}

wire::member_list member_table::member_list() const {
    wire::member_list list;
    list.members.push_back(m_self);
    for (const auto& [name, entry] : m_members) {
        if (!is_dead(entry.status)) {
            list.members.push_back(entry.record);
        }
    }
    return list;
}

template <class Condition>
void member_table::add_counters(std::vector<wire::relayed_counter>& counters, std::string& cursor,
                                std::size_t limit, Condition condition) const {
    auto next = m_members.upper_bound(cursor);
    for (std::size_t seen = 0; seen < m_members.size() && counters.size() < limit; ++seen, ++next) {
        if (next == m_members.end()) {
            next = m_members.begin();
        }
        const member& entry = next->second;
        if (entry.status == member_status::alive && entry.counter > 0 && condition(entry)) {
            counters.push_back({entry.record.name, entry.record.incarnation, entry.counter});
            cursor = next->first;
        }
    }
}

relay_counters member_table::next_counters_to_relay(std::size_t limit) {
    relay_counters counters;
    const auto in_own_domain = [this](const member& entry) {
        return entry.record.failure_domain == m_self.failure_domain;
    };
    const auto received_directly = [&](const member& entry) {
        return !in_own_domain(entry) &&
               m_last_tick - entry.direct_counter_at < m_settings.suspect_unlinked_after;
    };
    add_counters(counters.for_own_domain, m_own_domain_cursor, std::min<std::size_t>(1, limit),
                 in_own_domain);
    add_counters(counters.for_own_domain, m_other_domains_cursor, limit, received_directly);
    add_counters(counters.for_other_domains, m_for_other_domains_cursor, limit, in_own_domain);
    return counters;
}

} // namespace carawayway::membership
