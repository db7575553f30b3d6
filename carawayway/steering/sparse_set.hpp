// A sparse set of small integers: insert, erase and access by position take constant time, which allows
// uniform random choices.
#pragma once

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace carawayway::steering {

enum class presence : std::uint8_t { absent, present };

class sparse_set {
public:
    // Adds or removes `value`; does nothing when the set is already in the wanted state.
    void set_presence(std::uint32_t value, presence wanted) {
        if (value >= m_positions.size()) {
            m_positions.resize(value + 1, no_position);
        }
        const bool present = m_positions[value] != no_position;
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
    static constexpr std::uint32_t no_position = std::numeric_limits<std::uint32_t>::max();

    // Moves the last member into the position that becomes free.
    void erase(std::uint32_t value) {
        const std::uint32_t position = m_positions[value];
        const std::uint32_t last = m_values.back();
        m_values[position] = last;
        m_positions[last] = position;
        m_values.pop_back();
        m_positions[value] = no_position;
    }

    std::vector<std::uint32_t> m_values;
    std::vector<std::uint32_t> m_positions; // position of each value in m_values, or `no_position`
};

} // namespace carawayway::steering
