// Measures bytes and CPU time of the control messages per entry instance for a growing number of entry
// instances. All instances run in one process in virtual time, with the membership classes and the codec but
// without sockets.
#include "carawayway/membership/member_table.hpp"
#include "carawayway/membership/server_ownership.hpp"
#include "carawayway/membership/summary_table.hpp"
#include "carawayway/wire/frame_reader.hpp"
#include "carawayway/wire/message_codec.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <ctime>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

DEFINE_int32(seconds, 10, "measured virtual seconds");
DEFINE_int32(warm_up_seconds, 20, "virtual seconds before the measurement");
DEFINE_int32(heartbeat_ms, 250, "interval of heartbeats");
DEFINE_int32(summary_ms, 1000, "interval of summaries");
DEFINE_int32(tick_ms, 50, "interval of ticks");
DEFINE_int32(relayed, 3, "counters relayed in each heartbeat");
DEFINE_int32(servers_per_domain, 12, "backend servers per failure domain");
DEFINE_int32(domains, 6, "failure domains, two per region");
DEFINE_int32(largest, 64, "largest number of entry instances; the number doubles from 2");

namespace carawayway {
namespace {

constexpr int domains_per_region = 2;
const std::vector<std::string> services{"saatavuus", "varaus", "siirto", "hinnasto"};

double cpu_seconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// CPU time in seconds, bytes and number of operations of one kind.
struct cost {
    double cpu_s = 0;
    std::uint64_t bytes = 0;
    std::uint64_t count = 0;
};

struct costs {
    cost heartbeat_sent;
    cost heartbeat_received;
    cost summary_sent;
    cost summary_received;
    cost tick;
};

class cpu_timer {
public:
    explicit cpu_timer(cost& target) : m_target(target), m_started(cpu_seconds()) {}
    ~cpu_timer() {
        m_target.cpu_s += cpu_seconds() - m_started;
        ++m_target.count;
    }
    cpu_timer(const cpu_timer&) = delete;
    cpu_timer& operator=(const cpu_timer&) = delete;
    cpu_timer(cpu_timer&&) = delete;
    cpu_timer& operator=(cpu_timer&&) = delete;

private:
    cost& m_target;
    double m_started;
};

struct entry {
    wire::member_record record;
    std::unique_ptr<membership::member_table> members;
    std::unique_ptr<membership::server_ownership> ownership;
    membership::summary_table summaries{std::chrono::seconds(3)};
    std::map<std::string, std::uint64_t> sent_version; // of the claims last sent, by peer
    std::vector<std::string> links;
    std::uint64_t counter = 0;
    std::uint64_t sequence = 0;
};

class fleet {
public:
    explicit fleet(int size);

    void run(base::duration time);
    void reset_costs() { m_costs = {}; }
    const costs& measured_costs() const { return m_costs; }
    std::size_t links() const;
    std::size_t owned_servers() const;
    std::size_t members_not_alive() const; // members with a status other than alive, over all member tables

private:
    void run_tick();
    void open_links();
    void send_heartbeat(entry& member);
    void send_summary(entry& member);
    std::vector<std::byte> encode(entry& member, const wire::peer_message& message) const;
    void receive(entry& to, const std::vector<std::byte>& bytes);
    void handle(entry& to, const wire::received_message& received);

    std::map<std::string, entry> m_entries;
    std::vector<membership::claimable_server> m_servers;
    base::time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_ticks = 0;
    costs m_costs;
};

fleet::fleet(int size) {
    for (int domain = 0; domain < FLAGS_domains; ++domain) {
        for (int number = 0; number < FLAGS_servers_per_domain; ++number) {
            const auto& service = services.at(static_cast<std::size_t>(number) % services.size());
            m_servers.push_back({fmt::format("{}-{}-{}", service, domain, number), service,
                                 fmt::format("domain-{}", domain),
                                 fmt::format("region-{}", domain / domains_per_region)});
        }
    }
    for (int number = 0; number < size; ++number) {
        const int domain = number % FLAGS_domains;
        entry& member = m_entries[fmt::format("domain-{}-entry-{}", domain, number)];
        member.record = {fmt::format("domain-{}-entry-{}", domain, number),
                         fmt::format("domain-{}", domain),
                         fmt::format("region-{}", domain / domains_per_region),
                         static_cast<std::uint64_t>(number) + 1,
                         {"127.0.0.1", 1},
                         {"127.0.0.1", 2}};
    }
    for (auto& [name, member] : m_entries) {
        member.members =
            std::make_unique<membership::member_table>(member.record, membership::member_settings{}, m_now);
        for (const auto& [other_name, other] : m_entries) {
            member.members->add_seed(other.record, m_now);
        }
        member.ownership = std::make_unique<membership::server_ownership>(
            *member.members, membership::ownership_settings{}, [](std::string_view) { return 0U; },
            [](std::string_view) { return true; }, m_now);
        member.ownership->configure(m_servers, std::chrono::seconds(2));
    }
    open_links();
}

// Opens each link that at least one of its ends needs. Every member first sees all others as alive, as it
// does in a deployment that has run for some time.
void fleet::open_links() {
    std::map<std::string, std::set<std::string>> links;
    for (auto& [name, member] : m_entries) {
        for (const auto& [other_name, other] : m_entries) {
            if (other_name != name) {
                member.members->link_up(other.record, m_now);
            }
        }
        for (const auto& peer : member.members->needed_links()) {
            links[name].insert(peer.name);
            links[peer.name].insert(name);
        }
    }
    for (auto& [name, member] : m_entries) {
        member.links.assign(links[name].begin(), links[name].end());
        for (const auto& [other_name, other] : m_entries) {
            if (!links[name].contains(other_name)) {
                member.members->link_down(other_name);
            }
        }
    }
}

std::size_t fleet::members_not_alive() const {
    std::size_t count = 0;
    for (const auto& [name, member] : m_entries) {
        for (const auto& [other_name, other] : member.members->members()) {
            count += other.status != membership::member_status::alive ? 1U : 0U;
        }
    }
    return count;
}

std::vector<std::byte> fleet::encode(entry& member, const wire::peer_message& message) const {
    return wire::encode({member.record.name, member.record.incarnation, 1, ++member.sequence}, message);
}

void fleet::receive(entry& to, const std::vector<std::byte>& bytes) {
    base::failure failure;
    const auto received = wire::decode(bytes, failure);
    to.members->message_received(received->envelope.sender, received->envelope.incarnation, m_now);
    handle(to, *received);
}

void fleet::handle(entry& to, const wire::received_message& received) {
    const auto& from = received.envelope;
    if (const auto* heartbeat = std::get_if<wire::heartbeat>(&received.message)) {
        to.members->heartbeat(from.sender, from.incarnation, *heartbeat, m_now);
        to.ownership->observe_heartbeat(from.sender, from.incarnation, *heartbeat, m_now);
    } else if (const auto* summary = std::get_if<wire::entry_summary>(&received.message)) {
        to.summaries.update(from.sender, *summary, m_now);
    } else if (const auto* request = std::get_if<wire::claims_request>(&received.message)) {
        const auto report =
            to.ownership->answer_claims_request(from.sender, from.incarnation, *request, m_now);
        receive(m_entries.at(from.sender), encode(to, report));
    } else if (const auto* report = std::get_if<wire::claims_report>(&received.message)) {
        to.ownership->observe_report(from.sender, from.incarnation, *report, m_now);
    }
}

void fleet::send_heartbeat(entry& member) {
    const auto version = member.ownership->claims_version();
    const auto state =
        member.ownership->start_complete() ? wire::running_state::running : wire::running_state::starting;
    ++member.counter;
    const auto relayed = member.members->next_counters_to_relay(static_cast<std::size_t>(FLAGS_relayed));
    for (const auto& peer : member.links) {
        std::vector<std::byte> bytes;
        {
            const cpu_timer running(m_costs.heartbeat_sent);
            const bool is_same_domain =
                m_entries.at(peer).record.failure_domain == member.record.failure_domain;
            wire::heartbeat message{member.counter, state, version, std::nullopt,
                                    is_same_domain ? relayed.for_own_domain : relayed.for_other_domains};
            if (std::exchange(member.sent_version[peer], version) != version) {
                message.claims = member.ownership->claims();
            }
            bytes = encode(member, message);
        }
        m_costs.heartbeat_sent.bytes += bytes.size() + wire::frame_prefix_size;
        const cpu_timer running(m_costs.heartbeat_received);
        receive(m_entries.at(peer), bytes);
    }
}

void fleet::send_summary(entry& member) {
    wire::entry_summary message;
    for (const auto& service : services) {
        message.services.push_back(
            {service, 3, 12, 9, 0, 8500, {{"region-0", 120.5}, {"region-1", 3.5}, {"region-2", 0.5}}});
    }
    for (const auto& peer : member.links) {
        std::vector<std::byte> bytes;
        {
            const cpu_timer running(m_costs.summary_sent);
            bytes = encode(member, message);
        }
        m_costs.summary_sent.bytes += bytes.size() + wire::frame_prefix_size;
        const cpu_timer running(m_costs.summary_received);
        receive(m_entries.at(peer), bytes);
    }
}

void fleet::run_tick() {
    m_now += std::chrono::milliseconds(FLAGS_tick_ms);
    ++m_ticks;
    const auto due = [this](int interval_ms) {
        return m_ticks % static_cast<std::uint64_t>(interval_ms / FLAGS_tick_ms) == 0;
    };
    for (auto& [name, member] : m_entries) {
        std::vector<membership::outgoing_claims_request> requests;
        {
            const cpu_timer running(m_costs.tick);
            member.members->tick(m_now);
            member.ownership->tick(m_now);
            requests = member.ownership->take_claims_requests(m_now);
        }
        for (const auto& request : requests) {
            receive(m_entries.at(request.entry), encode(member, request.request));
        }
        if (due(FLAGS_heartbeat_ms)) {
            send_heartbeat(member);
        }
        if (due(FLAGS_summary_ms)) {
            send_summary(member);
        }
    }
}

void fleet::run(base::duration time) {
    for (const auto end = m_now + time; m_now < end;) {
        run_tick();
    }
}

std::size_t fleet::links() const {
    std::size_t total = 0;
    for (const auto& [name, member] : m_entries) {
        total += member.links.size();
    }
    return total;
}

std::size_t fleet::owned_servers() const {
    std::size_t total = 0;
    for (const auto& server : m_servers) {
        for (const auto& [name, member] : m_entries) {
            total += member.ownership->owns(server.name, m_now) ? 1U : 0U;
        }
    }
    return total;
}

double microseconds_per_operation(const cost& value) {
    return value.count == 0 ? 0 : value.cpu_s / static_cast<double>(value.count) * 1e6;
}

double bytes_per_operation(const cost& value) {
    return value.count == 0 ? 0 : static_cast<double>(value.bytes) / static_cast<double>(value.count);
}

void measure(int size) {
    fleet entries(size);
    entries.run(std::chrono::seconds(FLAGS_warm_up_seconds));
    entries.reset_costs();
    entries.run(std::chrono::seconds(FLAGS_seconds));
    const costs& result = entries.measured_costs();
    const double entry_seconds = static_cast<double>(size) * FLAGS_seconds;
    const double cpu_s = result.heartbeat_sent.cpu_s + result.heartbeat_received.cpu_s +
                         result.summary_sent.cpu_s + result.summary_received.cpu_s + result.tick.cpu_s;
    const auto bytes = static_cast<double>(result.heartbeat_sent.bytes + result.summary_sent.bytes);
    fmt::print("{:>7} {:>6.1f} {:>5}/{:<3} {:>7.0f} {:>7.2f} {:>7.2f} {:>7.0f} {:>7.2f} {:>7.2f} {:>7.2f} "
               "{:>10.0f} {:>9.3f} {:>9}\n",
               size, static_cast<double>(entries.links()) / size, entries.owned_servers(),
               FLAGS_domains * FLAGS_servers_per_domain, bytes_per_operation(result.heartbeat_sent),
               microseconds_per_operation(result.heartbeat_sent),
               microseconds_per_operation(result.heartbeat_received),
               bytes_per_operation(result.summary_sent), microseconds_per_operation(result.summary_sent),
               microseconds_per_operation(result.summary_received), microseconds_per_operation(result.tick),
               bytes / entry_seconds, cpu_s / entry_seconds * 100, entries.members_not_alive());
}

} // namespace
} // namespace carawayway

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    fmt::print(
        "heartbeat and summary: bytes of one frame, microseconds to encode and to decode and handle one;\n"
        "tick: microseconds; bytes/s: sent by one entry instance; cpu: percent of a core per instance\n");
    fmt::print("{:>7} {:>6} {:>9} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>10} {:>9} {:>9}\n", "entries",
               "links", "owned", "hb B", "hb enc", "hb rcv", "sum B", "sum enc", "sum rcv", "tick", "bytes/s",
               "cpu %", "not alive");
    for (int size = 2; size <= FLAGS_largest; size *= 2) {
        carawayway::measure(size);
    }
    return 0;
}
