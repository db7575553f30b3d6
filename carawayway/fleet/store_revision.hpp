// Position in the history of the store.
#pragma once

#include <fmt/format.h>

#include <cstdint>

namespace carawayway::fleet {

// The store counts its revisions anew from a lower one when it is restored from an older copy; its era rises
// then. Revisions are ordered by era first, so that what is known from the era before never counts as newer.
struct store_revision {
    constexpr store_revision() = default;
    constexpr store_revision(std::int64_t number_in_era, std::int64_t era_of_store = 0)
        : era(era_of_store), number(number_in_era) {}

    constexpr store_revision in_era(std::int64_t era_of_store) const { return {number, era_of_store}; }

    std::int64_t era = 0; // 0 for a store that does not tell its era
    std::int64_t number = 0;

    bool operator==(const store_revision&) const = default;
    friend constexpr bool operator<(const store_revision& left, const store_revision& right) {
        return left.era != right.era ? left.era < right.era : left.number < right.number;
    }
    friend constexpr bool operator>(const store_revision& left, const store_revision& right) {
        return right < left;
    }
    friend constexpr bool operator<=(const store_revision& left, const store_revision& right) {
        return !(right < left);
    }
    friend constexpr bool operator>=(const store_revision& left, const store_revision& right) {
        return !(left < right);
    }
};

} // namespace carawayway::fleet

// Writes ERA:NUMBER, or only the number without an era.
template <>
struct fmt::formatter<carawayway::fleet::store_revision> {
    constexpr auto parse(format_parse_context& context) { return context.begin(); }

    template <class Context>
    auto format(const carawayway::fleet::store_revision& revision, Context& context) const {
        return revision.era == 0 ? fmt::format_to(context.out(), "{}", revision.number)
                                 : fmt::format_to(context.out(), "{}:{}", revision.era, revision.number);
    }
};
