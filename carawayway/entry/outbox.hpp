// The sending side of an inbox for messages that must not be lost: those that do not fit wait here, in order.
#pragma once

#include "carawayway/entry/event_loop_thread.hpp"

#include <cstddef>
#include <deque>
#include <utility>

namespace carawayway::entry {

// Has no limit of its own. Used for replies and results, whose number is bounded by the requests in progress.
template <class Message>
class outbox {
public:
    explicit outbox(inbox<Message>& target) : m_target(target) {}

    void send(Message message) {
        m_waiting.push_back(std::move(message));
        flush();
    }

    // Moves waiting messages to the inbox as far as it has room. Must be called regularly while messages
    // wait.
    void flush() {
        while (!m_waiting.empty() && m_target.push(m_waiting.front())) {
            m_waiting.pop_front();
        }
    }

    std::size_t waiting_count() const { return m_waiting.size(); }

private:
    inbox<Message>& m_target;
    std::deque<Message> m_waiting;
};

} // namespace carawayway::entry
