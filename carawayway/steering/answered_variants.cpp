// The table of answered variants.
#include "carawayway/steering/answered_variants.hpp"

#include <algorithm>
#include <bit>
#include <limits>

namespace carawayway::steering {

namespace {

constexpr std::uint32_t answers_that_excuse_a_loss = 2;
// Content that begins to crash servers takes no more of them than this before its losses count.
constexpr std::uint32_t maximum_excused_losses = 6;

} // namespace

variant_set set_of_variant(std::uint64_t variant) {
    return variant_set{1} << (variant % std::numeric_limits<variant_set>::digits);
}

std::uint32_t excused_losses(variant_set answered) {
    const auto answers = static_cast<std::uint32_t>(std::popcount(answered));
    return std::min(answers / answers_that_excuse_a_loss, maximum_excused_losses);
}

bool excuses_most(variant_set answered) {
    return excused_losses(answered) == maximum_excused_losses;
}

bool answered_variants::record(std::uint64_t content, std::uint64_t variant, base::time_point now) {
    const auto before = find(content, now);
    merge(content, set_of_variant(variant), now);
    auto& place = place_of(content);
    if (place.content == content) {
        place.last_answer = now;
    }
    return find(content, now) != before;
}

void answered_variants::merge(std::uint64_t content, variant_set answered, base::time_point now) {
    auto& place = place_of(content);
    if (place.content == content && !is_expired(place, now)) {
        place.last_answer = (answered & ~place.answered) != 0 ? now : place.last_answer;
        place.answered |= answered;
        return;
    }
    const bool is_in_use = std::popcount(place.answered) > 1 && now - place.last_answer < undisturbed;
    if (!is_in_use && answered != 0) {
        place = {content, answered, now};
    }
}

variant_set answered_variants::find(std::uint64_t content, base::time_point now) const {
    const auto& place = m_entries[content % m_entries.size()];
    return place.content == content && !is_expired(place, now) ? place.answered : 0;
}

} // namespace carawayway::steering
