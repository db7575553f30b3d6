// The calls that were sent over peer links and have no result yet. When a link is lost, the table
// tells which calls may have reached the peer.
#pragma once

#include "carawayway/engine/request_engine.hpp"
#include "carawayway/peer/peer_types.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawayway::entry {

struct lost_call {
    std::uint64_t call = 0;
    engine::loss_evidence evidence = engine::loss_evidence::may_have_arrived;

    bool operator==(const lost_call&) const = default;
};

class peer_call_table {
public:
    void record_sent(const std::string& peer, std::uint64_t call, const peer::send_result& result);
    void record_result(std::uint64_t call);

    // Removes and returns the calls to the peer. A call on another link than the lost one was queued on a
    // link that the lost one replaced; whether it was sent is unknown.
    std::vector<lost_call> take_lost(const std::string& peer, const peer::link_loss& loss);

private:
    struct sent_call {
        std::string peer;
        std::uint64_t link = 0;
        std::uint64_t sequence = 0;
    };

    std::unordered_map<std::uint64_t, sent_call> m_calls;
};

} // namespace carawayway::entry
