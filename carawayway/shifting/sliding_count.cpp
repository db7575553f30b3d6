// A ring of cumulative counts: the sum over any interval is one subtraction.
#include "carawayway/shifting/sliding_count.hpp"

#include <algorithm>
#include <bit>
#include <cassert>

namespace carawayway::shifting {

sliding_count::sliding_count(base::duration bucket_length, std::size_t history, base::time_point now)
    : m_bucket_length(bucket_length), m_cumulative(std::bit_ceil(history)), m_newest(bucket_at(now)) {
    assert(bucket_length.count() > 0);
}

sliding_count::bucket sliding_count::bucket_at(base::time_point time) const {
    const auto elapsed = time.time_since_epoch();
    const bucket truncated = elapsed / m_bucket_length;
    const bool below_zero = elapsed % m_bucket_length < base::duration::zero();
    return below_zero ? truncated - 1 : truncated;
}

base::time_point sliding_count::start_of(bucket index) const {
    return base::time_point{index * m_bucket_length};
}

void sliding_count::add(base::time_point time, std::uint64_t events) {
    advance_to(bucket_at(time));
    m_total += events;
    m_cumulative[ring_index(m_newest)] = m_total;
}

std::uint64_t sliding_count::sum(bucket after, bucket last) const {
    return last <= after ? 0 : cumulative_count(last) - cumulative_count(after);
}

sliding_count sliding_count::with_bucket_length(base::duration bucket_length, base::time_point now) const {
    sliding_count result(bucket_length, m_cumulative.size(),
                         start_of(m_newest - static_cast<bucket>(m_cumulative.size())));
    const auto capacity = static_cast<bucket>(m_cumulative.size());
    for (bucket index = m_newest - capacity + 2; index <= m_newest; ++index) {
        const std::uint64_t events = sum(index - 1, index);
        if (events > 0) {
            result.add(std::min(now, start_of(index + 1)), events);
        }
    }
    return result;
}

void sliding_count::advance_to(bucket index) {
    const auto capacity = static_cast<bucket>(m_cumulative.size());
    for (bucket filled = std::max(m_newest + 1, index - capacity + 1); filled <= index; ++filled) {
        m_cumulative[ring_index(filled)] = m_total;
    }
    m_newest = std::max(m_newest, index);
}

std::uint64_t sliding_count::cumulative_count(bucket index) const {
    const auto oldest = m_newest - static_cast<bucket>(m_cumulative.size()) + 1;
    if (index >= m_newest) {
        return m_total;
    }
    return m_cumulative[ring_index(std::max(index, oldest))];
}

std::size_t sliding_count::ring_index(bucket index) const {
    return static_cast<std::size_t>(index) & (m_cumulative.size() - 1);
}

} // namespace carawayway::shifting
