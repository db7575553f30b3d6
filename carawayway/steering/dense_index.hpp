// A set of small integers with constant-time insert, erase and access by position, for random choices.
#pragma once

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace carawayway::steering {

enum class presence : std::uint8_t { absent, present };

class dense_index {
public:
    // Makes `value` a member or removes it; a repeated call changes nothing.
    void set(std::uint32_t value, presence wanted) {
        if (value >= m_positions.size()) {
            m_positions.resize(value + 1, nowhere);
        }
        const bool present = m_positions[value] != nowhere;
        if (wanted == presence::present && !present) {
            m_positions[value] = static_cast<std::uint32_t>(m_values.size());
            m_values.push_back(value);
        } else if (wanted == presence::absent && present) {
            erase(value);
        }
    }

    bool empty() const { return m_values.empty(); }
    std::size_t size() const { return m_values.size(); }
    std::uint32_t operator[](std::size_t position) const { return m_values[position]; }

private:
    static constexpr std::uint32_t nowhere = std::numeric_limits<std::uint32_t>::max();

    // The last member moves into the place that becomes free.
    void erase(std::uint32_t value) {
        const std::uint32_t position = m_positions[value];
        const std::uint32_t last = m_values.back();
        m_values[position] = last;
        m_positions[last] = position;
        m_values.pop_back();
        m_positions[value] = nowhere;
    }

    std::vector<std::uint32_t> m_values;
    std::vector<std::uint32_t> m_positions; // position of each value in m_values, or `nowhere`
};

} // namespace carawayway::steering
