// An event queue in virtual time. Events with the same time run in the order in which they were added.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace carawayway::engine_test {

using action = std::function<void()>;

class event_queue {
public:
    base::time_point now() const { return m_now; }

    void after(base::duration delay, action work) {
        m_events.emplace(std::pair{m_now + delay, ++m_sequence}, std::move(work));
    }

    void run_for(base::duration time) {
        const auto end = m_now + time;
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            auto next = m_events.extract(m_events.begin());
            m_now = next.key().first;
            next.mapped()();
        }
        m_now = end;
    }

private:
    base::time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<base::time_point, std::uint64_t>, action> m_events;
};

} // namespace carawayway::engine_test
