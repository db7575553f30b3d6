// Remembers what servers have answered of request contents, as evidence that a content is harmless.
#pragma once

#include "carawayway/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace carawayway::steering {

// A set of variants of one content, or of requests of one variant: bit N stands for all of them whose hash is
// N modulo 64. Sets of several gateways are joined with |, which counts each variant or request once.
using variant_set = std::uint64_t;

// The set that has just this variant or request.
variant_set set_of_variant(std::uint64_t variant);

// How many losses of a content or a variant these answers excuse: servers that ended while they ran a content
// of which other variants are answered, or a variant that was answered before, have more likely ended for
// another reason.
std::uint32_t excused_losses(variant_set answered);

// Whether more answers would excuse no further loss.
bool excuses_most(variant_set answered);

// A table of fixed size in which each content and each variant has one place. One that is seldom answered, or
// was answered once, gives way to the next one of its place.
class answered_variants {
public:
    static constexpr std::size_t capacity = 8192;                           // contents and variants
    static constexpr base::duration expiry = std::chrono::minutes{10};      // since the last answer
    static constexpr base::duration undisturbed = std::chrono::seconds{10}; // since the last answer

    answered_variants() : m_entries(capacity) {}

    // Records an answer. Returns whether its variant is new to the set.
    bool record(std::uint64_t content, std::uint64_t variant, base::time_point now);
    // Adds variants that were answered at another gateway.
    void merge(std::uint64_t content, variant_set answered, base::time_point now);

    // Empty for a content that is not known.
    variant_set find(std::uint64_t content, base::time_point now) const;

private:
    struct entry {
        std::uint64_t content = 0;
        variant_set answered = 0; // empty in a place that is not used
        base::time_point last_answer;
    };

    static bool is_expired(const entry& place, base::time_point now) {
        return now - place.last_answer >= expiry;
    }
    entry& place_of(std::uint64_t content) { return m_entries[content % m_entries.size()]; }

    std::vector<entry> m_entries; // capacity elements; a content is at its hash modulo the capacity
};

} // namespace carawayway::steering
