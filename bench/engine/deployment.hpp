// Builds an engine inside a deployment of a given size, for benchmarks: members are introduced through the
// same messages that real peers send.
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
    std::uint32_t servers_per_domain = 3; // of each service
    std::uint32_t slots = 4;
    std::uint32_t self = 0; // number of the benchmarked entry instance in the first domain
    std::uint32_t domains_per_region = 3;
};

class deployment {
public:
    explicit deployment(deployment_size size);

    engine::entry_engine& engine() { return *m_engine; }
    base::time_point now() const { return m_now; }
    void advance(base::duration step) { m_now += step; }

    // Runs ticks until servers are owned; effects are dropped.
    void settle();

    // A heartbeat and a summary from each linked member, as they arrive in one interval.
    void receive_control_round();

    std::size_t link_count() const { return m_links; }

    // Bytes on the links for what the engine sent since the last call.
    struct traffic {
        std::uint64_t heartbeats = 0;
        std::uint64_t summaries = 0;
        std::uint64_t others = 0;
    };
    traffic take_traffic();

    void tick() { m_engine->tick(m_now, m_effects); }

private:
    std::string policy_text() const;
    void introduce_members();
    void drop_links();
    void answer(const engine::send_to_peer& effect);
    wire::received_message envelope(const std::string& sender, wire::peer_message message) const;

    deployment_size m_size;
    base::time_point m_now;
    metrics::metric_registry m_metrics{2000};
    std::unique_ptr<engine::entry_engine> m_engine;
    engine::effects m_effects;
    std::vector<std::string> m_linked;
    std::vector<std::string> m_unlinked;
    engine::set_peer_targets m_targets; // as the engine wants them now
    std::size_t m_links = 0;
    std::uint64_t m_counter = 0;
};

} // namespace carawayway::bench
