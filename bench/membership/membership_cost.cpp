// Bytes and CPU of the control messages per entry instance as the number of entry instances grows. All of
// them run in one process under virtual time, with the membership classes and the codec but without sockets.
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

DEFINE_int32(seconds, 10, "virtual seconds that are measured");
DEFINE_int32(warm_up_seconds, 20, "virtual seconds before the measurement");
DEFINE_int32(heartbeat_ms, 250, "interval of heartbeats");
DEFINE_int32(summary_ms, 1000, "interval of summaries");
DEFINE_int32(tick_ms, 50, "interval of ticks");
DEFINE_int32(relayed, 3, "relayed counters per heartbeat");
DEFINE_int32(servers_per_domain, 12, "backend servers per failure domain");
DEFINE_int32(domains, 6, "failure domains, two per region");
DEFINE_int32(largest, 64, "largest number of entry instances; doubled from 2");

namespace carawayway {
namespace {

constexpr int domains_per_region = 2;
const std::vector<std::string> services{"saatavuus", "varaus", "siirto", "hinnasto"};

double cpu_seconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// CPU seconds and bytes of one kind of work.
struct cost {
    double cpu = 0;
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

class timer {
public:
    explicit timer(cost& target) : m_target(target), m_started(cpu_seconds()) {}
    ~timer() {
        m_target.cpu += cpu_seconds() - m_started;
        ++m_target.count;
    }
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    timer(timer&&) = delete;
    timer& operator=(timer&&) = delete;

private:
    cost& m_target;
    double m_started;
};

struct entry {
    wire::member_record record;
    std::unique_ptr<membership::member_table> members;
    std::unique_ptr<membership::server_ownership> ownership;
    membership::summary_table summaries{std::chrono::seconds(3)};
    std::map<std::string, std::uint64_t> sent_version; // of the claims, by peer
    std::vector<std::string> links;
    std::uint64_t counter = 0;
    std::uint64_t sequence = 0;
};

class fleet {
public:
    explicit fleet(int size);

    void run(base::duration time);
    void reset() { m_costs = {}; }
    const costs& measured() const { return m_costs; }
    std::size_t links() const;
    std::size_t owned() const;
    std::size_t not_alive() const; // statuses other than alive, over all member tables

private:
    void step();
    void link();
    void send_heartbeat(entry& one);
    void send_summary(entry& one);
    std::vector<std::byte> encode(entry& one, const wire::peer_message& message) const;
    void receive(entry& to, const std::vector<std::byte>& bytes);
    void handle(entry& to, const wire::received_message& received);

    std::map<std::string, entry> m_entries;
    std::vector<membership::claimable_server> m_servers;
    base::time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_steps = 0;
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
        entry& one = m_entries[fmt::format("domain-{}-entry-{}", domain, number)];
        one.record = {fmt::format("domain-{}-entry-{}", domain, number),
                      fmt::format("domain-{}", domain),
                      fmt::format("region-{}", domain / domains_per_region),
                      static_cast<std::uint64_t>(number) + 1,
                      {"127.0.0.1", 1},
                      {"127.0.0.1", 2}};
    }
    for (auto& [name, one] : m_entries) {
        one.members =
            std::make_unique<membership::member_table>(one.record, membership::member_settings{}, m_now);
        for (const auto& [other_name, other] : m_entries) {
            one.members->add_seed(other.record, m_now);
        }
        one.ownership = std::make_unique<membership::server_ownership>(
            *one.members, membership::ownership_settings{}, [](std::string_view) { return 0U; },
            [](std::string_view) { return true; }, m_now);
        one.ownership->configure(m_servers, std::chrono::seconds(2));
    }
    link();
}

// A link is open when one of its ends needs it. All members are known to be alive, as after some time.
void fleet::link() {
    std::map<std::string, std::set<std::string>> links;
    for (auto& [name, one] : m_entries) {
        for (const auto& [other_name, other] : m_entries) {
            if (other_name != name) {
                one.members->link_up(other.record, m_now);
            }
        }
        for (const auto& peer : one.members->needed_links()) {
            links[name].insert(peer.name);
            links[peer.name].insert(name);
        }
    }
    for (auto& [name, one] : m_entries) {
        one.links.assign(links[name].begin(), links[name].end());
        for (const auto& [other_name, other] : m_entries) {
            if (!links[name].contains(other_name)) {
                one.members->link_down(other_name);
            }
        }
    }
}

std::size_t fleet::not_alive() const {
    std::size_t count = 0;
    for (const auto& [name, one] : m_entries) {
        for (const auto& [other_name, other] : one.members->members()) {
            count += other.status != membership::member_status::alive ? 1U : 0U;
        }
    }
    return count;
}

std::vector<std::byte> fleet::encode(entry& one, const wire::peer_message& message) const {
    return wire::encode({one.record.name, one.record.incarnation, 1, ++one.sequence}, message);
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

void fleet::send_heartbeat(entry& one) {
    const auto version = one.ownership->claims_version();
    const auto state =
        one.ownership->start_complete() ? wire::running_state::running : wire::running_state::starting;
    ++one.counter;
    const auto relayed = one.members->next_counters_to_relay(static_cast<std::size_t>(FLAGS_relayed));
    for (const auto& peer : one.links) {
        std::vector<std::byte> bytes;
        {
            const timer running(m_costs.heartbeat_sent);
            const bool inward = m_entries.at(peer).record.failure_domain == one.record.failure_domain;
            wire::heartbeat message{one.counter, state, version, std::nullopt,
                                    inward ? relayed.for_own_domain : relayed.for_other_domains};
            if (std::exchange(one.sent_version[peer], version) != version) {
                message.claims = one.ownership->claims();
            }
            bytes = encode(one, message);
        }
        m_costs.heartbeat_sent.bytes += bytes.size() + wire::frame_prefix_size;
        const timer running(m_costs.heartbeat_received);
        receive(m_entries.at(peer), bytes);
    }
}

void fleet::send_summary(entry& one) {
    wire::entry_summary message;
    for (const auto& service : services) {
        message.services.push_back(
            {service, 3, 12, 9, 0, 8500, {{"region-0", 120.5}, {"region-1", 3.5}, {"region-2", 0.5}}});
    }
    for (const auto& peer : one.links) {
        std::vector<std::byte> bytes;
        {
            const timer running(m_costs.summary_sent);
            bytes = encode(one, message);
        }
        m_costs.summary_sent.bytes += bytes.size() + wire::frame_prefix_size;
        const timer running(m_costs.summary_received);
        receive(m_entries.at(peer), bytes);
    }
}

void fleet::step() {
    m_now += std::chrono::milliseconds(FLAGS_tick_ms);
    ++m_steps;
    const auto due = [this](int interval_ms) {
        return m_steps % static_cast<std::uint64_t>(interval_ms / FLAGS_tick_ms) == 0;
    };
    for (auto& [name, one] : m_entries) {
        std::vector<membership::outgoing_claims_request> requests;
        {
            const timer running(m_costs.tick);
            one.members->tick(m_now);
            one.ownership->tick(m_now);
            requests = one.ownership->take_claims_requests(m_now);
        }
        for (const auto& request : requests) {
            receive(m_entries.at(request.entry), encode(one, request.request));
        }
        if (due(FLAGS_heartbeat_ms)) {
            send_heartbeat(one);
        }
        if (due(FLAGS_summary_ms)) {
            send_summary(one);
        }
    }
}

void fleet::run(base::duration time) {
    for (const auto end = m_now + time; m_now < end;) {
        step();
    }
}

std::size_t fleet::links() const {
    std::size_t total = 0;
    for (const auto& [name, one] : m_entries) {
        total += one.links.size();
    }
    return total;
}

std::size_t fleet::owned() const {
    std::size_t total = 0;
    for (const auto& server : m_servers) {
        for (const auto& [name, one] : m_entries) {
            total += one.ownership->owns(server.name, m_now) ? 1U : 0U;
        }
    }
    return total;
}

double micros_each(const cost& value) {
    return value.count == 0 ? 0 : value.cpu / static_cast<double>(value.count) * 1e6;
}

double bytes_each(const cost& value) {
    return value.count == 0 ? 0 : static_cast<double>(value.bytes) / static_cast<double>(value.count);
}

void measure(int size) {
    fleet all(size);
    all.run(std::chrono::seconds(FLAGS_warm_up_seconds));
    all.reset();
    all.run(std::chrono::seconds(FLAGS_seconds));
    const costs& result = all.measured();
    const double entry_seconds = static_cast<double>(size) * FLAGS_seconds;
    const double cpu = result.heartbeat_sent.cpu + result.heartbeat_received.cpu + result.summary_sent.cpu +
                       result.summary_received.cpu + result.tick.cpu;
    const auto bytes = static_cast<double>(result.heartbeat_sent.bytes + result.summary_sent.bytes);
    fmt::print("{:>7} {:>6.1f} {:>5}/{:<3} {:>7.0f} {:>7.2f} {:>7.2f} {:>7.0f} {:>7.2f} {:>7.2f} {:>7.2f} "
               "{:>10.0f} {:>9.3f} {:>9}\n",
               size, static_cast<double>(all.links()) / size, all.owned(),
               FLAGS_domains * FLAGS_servers_per_domain, bytes_each(result.heartbeat_sent),
               micros_each(result.heartbeat_sent), micros_each(result.heartbeat_received),
               bytes_each(result.summary_sent), micros_each(result.summary_sent),
               micros_each(result.summary_received), micros_each(result.tick), bytes / entry_seconds,
               cpu / entry_seconds * 100, all.not_alive());
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
