// Tests merging of records: older revisions are ignored, and removed keys are noticed.
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

// Guards against a reply of a peer that lags behind and reverts a configuration.
TEST(store_replica, ignores_a_record_that_is_older_than_the_known_one) {
    store_replica replica;
    EXPECT_TRUE(replica.apply(written("a", 5, "new")));
    EXPECT_FALSE(replica.apply(written("a", 4, "old")));
    EXPECT_FALSE(replica.apply(written("a", 5, "again")));
    EXPECT_THAT(replica.all(), ElementsAre(written("a", 5, "new")));
}

// Guards against a late page of a listing that restores an erased key.
TEST(store_replica, an_older_record_does_not_restore_an_erased_key) {
    store_replica replica;
    replica.apply(written("a", 5));
    replica.apply(erased("a", 7));
    EXPECT_FALSE(replica.apply(written("a", 5)));
    EXPECT_THAT(replica.all(), IsEmpty());
    EXPECT_TRUE(replica.apply(written("a", 8)));
}

// Guards against missing the removal of a server after the store compacted its history.
TEST(store_replica, a_listing_reports_removed_keys) {
    store_replica replica;
    replica.replace_all({written("a", 1), written("b", 2)}, 2);
    EXPECT_THAT(replica.replace_all({written("b", 2)}, 9), ElementsAre(erased("a", 9)));
    EXPECT_THAT(replica.all(), ElementsAre(written("b", 2)));
}

// A listing is not a snapshot. Guards against erasing a key that was written while the listing was read.
TEST(store_replica, a_listing_keeps_a_key_that_changed_after_it_began) {
    store_replica replica;
    replica.replace_all({written("a", 1)}, 2);
    replica.apply(written("b", 5));
    EXPECT_THAT(replica.replace_all({written("a", 1)}, 4), IsEmpty());
    EXPECT_THAT(replica.all(), ElementsAre(written("a", 1), written("b", 5)));
}

// Guards against a disconnected gateway that never learns of the removal of a server: the peer that it asks
// started after the removal and does not know the key.
TEST(store_replica, a_peer_that_started_later_replies_with_all_records) {
    store_replica restarted_peer;
    restarted_peer.replace_all({written("b", 2)}, 9);
    EXPECT_FALSE(restarted_peer.changes_after(3).has_value());

    store_replica disconnected;
    disconnected.replace_all({written("a", 1), written("b", 2)}, 3);
    EXPECT_THAT(disconnected.replace_all(restarted_peer.all(), restarted_peer.revision()),
                ElementsAre(erased("a", 9)));
}

TEST(store_replica, returns_the_changes_after_a_revision) {
    store_replica replica;
    replica.replace_all({written("a", 1)}, 3);
    replica.apply(written("b", 4));
    replica.apply(erased("a", 6));
    replica.advance(7);
    EXPECT_EQ(replica.revision(), 7);
    EXPECT_THAT(replica.changes_after(3).value(), ElementsAre(written("b", 4), erased("a", 6)));
    EXPECT_THAT(replica.changes_after(4).value(), ElementsAre(erased("a", 6)));
    EXPECT_THAT(replica.changes_after(7).value(), IsEmpty());
}

// Guards against memory use that grows with the number of changes.
TEST(store_replica, drops_old_changes_and_reports_that_they_are_incomplete) {
    store_replica replica;
    replica.replace_all({}, 1);
    for (std::int64_t revision = 2;
         revision <= static_cast<std::int64_t>(store_replica::maximum_kept_changes) + 10; ++revision) {
        replica.apply(written("key" + std::to_string(revision), revision));
    }
    EXPECT_FALSE(replica.changes_after(1).has_value());
    EXPECT_TRUE(replica.changes_after(100).has_value());
}

} // namespace
} // namespace carawayway::fleet
