// Counts events of the recent past in fixed buckets, for sums over intervals of whole buckets.
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

    // At least `history` buckets are held, the current one included.
    sliding_count(base::duration bucket_length, std::size_t history, base::time_point now);

    bucket bucket_at(base::time_point time) const;
    base::time_point start_of(bucket index) const;

    // An event earlier than the newest bucket counts in the newest bucket.
    void add(base::time_point time, std::uint64_t events = 1);

    // Events in the buckets after `after` up to and including `last`. Events that left the history are not
    // counted; buckets in the future are empty.
    std::uint64_t sum(bucket after, bucket last) const;

    // The same events in buckets of another length. Each event moves to the end of its bucket, at most to
    // `now`.
    sliding_count with_bucket_length(base::duration bucket_length, base::time_point now) const;

private:
    void advance_to(bucket index);
    std::uint64_t count_until(bucket index) const;
    std::size_t slot(bucket index) const;

    base::duration m_bucket_length;
    // Cumulative: the slot of bucket b holds all events counted in b or earlier, for the last size() buckets.
    // The size is a power of two, so that a slot is found without a division.
    std::vector<std::uint64_t> m_until;
    bucket m_newest;
    std::uint64_t m_total = 0;
};

} // namespace carawayway::shifting
