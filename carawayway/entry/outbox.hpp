// The sending end of a ring for messages that must not be lost: what does not fit waits here, in order.
#pragma once

#include "carawayway/entry/duty.hpp"

#include <cstddef>
#include <deque>
#include <utility>

namespace carawayway::entry {

// Used for replies and results, whose number is bounded by the requests in progress.
template <class Message>
class outbox {
public:
    explicit outbox(inbox<Message>& target) : m_target(target) {}

    void send(Message message) {
        m_waiting.push_back(std::move(message));
        flush();
    }

    // To be called regularly while something waits.
    void flush() {
        while (!m_waiting.empty() && m_target.push(m_waiting.front())) {
            m_waiting.pop_front();
        }
    }

    std::size_t waiting() const { return m_waiting.size(); }

private:
    inbox<Message>& m_target;
    std::deque<Message> m_waiting;
};

} // namespace carawayway::entry
