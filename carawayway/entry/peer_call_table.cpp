// The sequence numbers of a link tell which messages were passed to its socket.
#include "carawayway/entry/peer_call_table.hpp"

namespace carawayway::entry {

void peer_call_table::record_sent(const std::string& peer, std::uint64_t call,
                                  const peer::send_result& result) {
    m_calls[call] = {peer, result.link, result.sequence};
}

void peer_call_table::record_result(std::uint64_t call) {
    m_calls.erase(call);
}

std::vector<lost_call> peer_call_table::take_lost(const std::string& peer, const peer::link_loss& loss) {
    std::vector<lost_call> lost;
    for (auto item = m_calls.begin(); item != m_calls.end();) {
        if (item->second.peer != peer) {
            ++item;
            continue;
        }
        const bool never_sent = item->second.link == loss.link && item->second.sequence >= loss.first_unsent;
        lost.push_back({item->first, never_sent ? engine::loss_evidence::never_sent
                                                : engine::loss_evidence::may_have_arrived});
        item = m_calls.erase(item);
    }
    return lost;
}

} // namespace carawayway::entry
