// Runs an engine within a synthetic deployment of a given size, for benchmarks. The other members are
// simulated by the messages that real peers send.
#pragma once

#include "carawayway/engine/entry_engine.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace carawayway::bench {

struct deployment_size {
    std::uint32_t domains = 6;
    std::uint32_t entries_per_domain = 2;
    std::uint32_t services = 4;
    std::uint32_t servers_per_domain = 3; // for each service
    std::uint32_t slots = 4;
    std::uint32_t self = 0; // index of the benchmarked entry instance within the first domain
    std::uint32_t domains_per_region = 3;
};

class deployment {
public:
    explicit deployment(deployment_size size);

    engine::entry_engine& engine() { return *m_engine; }
    base::time_point now() const { return m_now; }
    void advance(base::duration step) { m_now += step; }

    // Runs ticks until the engine owns its servers. Discards the effects.
    void settle();

    // Delivers a heartbeat and a summary from each linked member, as in one heartbeat interval.
    void receive_control_round();

    std::size_t link_count() const { return m_link_count; }

    // Bytes that the engine has sent on its links since the last call.
    struct traffic {
        std::uint64_t heartbeats = 0;
        std::uint64_t summaries = 0;
        std::uint64_t others = 0;
    };
    traffic take_traffic();

    void tick() { m_engine->tick(m_now, m_effects); }

private:
    std::string policy_text() const;
    void add_members();
    void drop_unneeded_links();
    void answer_claims_request(const engine::send_to_peer& effect);
    wire::received_message wrap_message(const std::string& sender, wire::peer_message message) const;

    deployment_size m_size;
    base::time_point m_now;
    metrics::metric_registry m_metrics{2000};
    std::unique_ptr<engine::entry_engine> m_engine;
    engine::effects m_effects;
    std::vector<std::string> m_linked_members;
    std::vector<std::string> m_unlinked_members;
    engine::set_peer_targets m_targets; // latest targets requested by the engine
    std::size_t m_link_count = 0;
    std::uint64_t m_counter = 0;
};

} // namespace carawayway::bench
