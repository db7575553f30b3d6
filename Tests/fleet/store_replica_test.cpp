// Merging of facts: revisions only rise, and what disappeared is not missed.
#include "carawayway/fleet/store_replica.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::fleet {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

store_record written(const std::string& key, std::int64_t revision, const std::string& value = "value") {
    return {key, value, revision, false};
}

store_record erased(const std::string& key, std::int64_t revision) {
    return {key, {}, revision, true};
}

// Guards against a relay that lags taking a configuration back.
TEST(store_replica, ignores_a_fact_that_is_older_than_the_known_one) {
    store_replica log;
    EXPECT_TRUE(log.apply(written("a", 5, "new")));
    EXPECT_FALSE(log.apply(written("a", 4, "old")));
    EXPECT_FALSE(log.apply(written("a", 5, "again")));
    EXPECT_THAT(log.all(), ElementsAre(written("a", 5, "new")));
}

// Guards against a late page of a listing that brings an erased key back.
TEST(store_replica, an_erased_key_does_not_return_with_an_older_fact) {
    store_replica log;
    log.apply(written("a", 5));
    log.apply(erased("a", 7));
    EXPECT_FALSE(log.apply(written("a", 5)));
    EXPECT_THAT(log.all(), IsEmpty());
    EXPECT_TRUE(log.apply(written("a", 8)));
}

// Guards against a lost history hiding the removal of a server.
TEST(store_replica, a_listing_reports_the_keys_that_are_gone) {
    store_replica log;
    log.replace_all({written("a", 1), written("b", 2)}, 2);
    EXPECT_THAT(log.replace_all({written("b", 2)}, 9), ElementsAre(erased("a", 9)));
    EXPECT_THAT(log.all(), ElementsAre(written("b", 2)));
}

// Guards against a listing, which is not a snapshot, erasing a key that was written while it was read.
TEST(store_replica, a_listing_keeps_a_key_that_changed_after_it_began) {
    store_replica log;
    log.replace_all({written("a", 1)}, 2);
    log.apply(written("b", 5));
    EXPECT_THAT(log.replace_all({written("a", 1)}, 4), IsEmpty());
    EXPECT_THAT(log.all(), ElementsAre(written("a", 1), written("b", 5)));
}

// Guards against a gateway that was cut off never learning that a server left: the peer that it asked had
// started after the removal and knew nothing of the key (found by fleetbench on scale-2 of ktl-tiski, rule
// DRAIN).
TEST(store_replica, a_peer_that_started_later_answers_with_its_whole_listing) {
    store_replica restarted_peer;
    restarted_peer.replace_all({written("b", 2)}, 9);
    EXPECT_FALSE(restarted_peer.changes_after(3).has_value());

    store_replica cut_off;
    cut_off.replace_all({written("a", 1), written("b", 2)}, 3);
    EXPECT_THAT(cut_off.replace_all(restarted_peer.all(), restarted_peer.revision()),
                ElementsAre(erased("a", 9)));
}

TEST(store_replica, gives_the_changes_after_a_revision) {
    store_replica log;
    log.replace_all({written("a", 1)}, 3);
    log.apply(written("b", 4));
    log.apply(erased("a", 6));
    log.advance(7);
    EXPECT_EQ(log.revision(), 7);
    EXPECT_THAT(log.changes_after(3).value(), ElementsAre(written("b", 4), erased("a", 6)));
    EXPECT_THAT(log.changes_after(4).value(), ElementsAre(erased("a", 6)));
    EXPECT_THAT(log.changes_after(7).value(), IsEmpty());
}

// Guards against memory that grows with the number of changes.
TEST(store_replica, forgets_old_changes_and_says_so) {
    store_replica log;
    log.replace_all({}, 1);
    for (std::int64_t revision = 2; revision <= static_cast<std::int64_t>(store_replica::kept_changes) + 10;
         ++revision) {
        log.apply(written("key" + std::to_string(revision), revision));
    }
    EXPECT_FALSE(log.changes_after(1).has_value());
    EXPECT_TRUE(log.changes_after(100).has_value());
}

} // namespace
} // namespace carawayway::fleet
