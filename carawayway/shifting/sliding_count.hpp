// Counts recent events in buckets of fixed length, for sums over any interval of whole buckets.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace carawayway::shifting {

// Bucket numbers are absolute: time divided by the bucket length, rounded down.
class sliding_count {
public:
    using bucket = std::int64_t;

    // Keeps at least `history` buckets, the current one included.
    sliding_count(base::duration bucket_length, std::size_t history, base::time_point now);

    bucket bucket_at(base::time_point time) const;
    base::time_point start_of(bucket index) const;

    // Events older than the newest bucket count in the newest bucket.
    void add(base::time_point time, std::uint64_t events = 1);

    // Number of events in the buckets after `after`, up to and including `last`. Events older than the
    // history are not counted; future buckets are empty.
    std::uint64_t sum(bucket after, bucket last) const;

    // Returns the same events in buckets of another length. Each event counts at the end of its old bucket,
    // but not later than `now`.
    sliding_count with_bucket_length(base::duration bucket_length, base::time_point now) const;

private:
    void advance_to(bucket index);
    std::uint64_t cumulative_count(bucket index) const;
    std::size_t ring_index(bucket index) const;

    base::duration m_bucket_length;
    // The element of bucket b is the number of events in b or earlier, for the last size() buckets. The size
    // is a power of two, so that the index needs no division.
    std::vector<std::uint64_t> m_cumulative;
    bucket m_newest;
    std::uint64_t m_total = 0;
};

} // namespace carawayway::shifting
