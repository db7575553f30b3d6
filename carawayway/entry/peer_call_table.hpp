// The calls that were sent over peer links and have no result yet, to tell on the loss of a link which of
// them can have reached the peer.
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
    void sent(const std::string& peer, std::uint64_t call, const peer::send_result& result);
    void answered(std::uint64_t call);

    // Removes and returns the calls of the peer. Calls on another link than the lost one were queued on a
    // link that it replaced; whether they left is not known.
    std::vector<lost_call> link_lost(const std::string& peer, const peer::link_loss& loss);

private:
    struct sent_call {
        std::string peer;
        std::uint64_t link = 0;
        std::uint64_t sequence = 0;
    };

    std::unordered_map<std::uint64_t, sent_call> m_calls;
};

} // namespace carawayway::entry
