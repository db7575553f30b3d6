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

// The same record at the same number of the era after a restore.
store_record restored(store_record record) {
    record.revision = record.revision.in_era(1);
    return record;
}

store_revision restored(std::int64_t number) {
    return store_revision{number, 1};
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

// Guards against gateways that are killed because they keep many versions of a large value.
TEST(store_replica, the_bytes_of_kept_changes_are_bounded) {
    const std::string large(900U << 10U, 'x');
    store_replica replica;
    replica.replace_all({}, 1);
    for (std::int64_t revision = 2; revision < 1000; ++revision) {
        replica.apply(written("configuration", revision, large + std::to_string(revision)));
        replica.advance(revision);
    }
    std::size_t kept = 0;
    std::int64_t oldest = 998;
    for (; replica.changes_after(oldest).has_value() && oldest > 0; --oldest) {
        kept = replica.changes_after(oldest)->size() * large.size();
    }
    EXPECT_GT(kept, 0U);
    EXPECT_LE(kept, store_replica::maximum_kept_bytes);
    EXPECT_EQ(replica.all().front().value, large + "999");
}

// Guards against a follower that never gets a value which is larger than the changes that are kept.
TEST(store_replica, the_last_change_is_kept_whatever_its_size) {
    store_replica replica;
    replica.replace_all({}, 1);
    replica.apply(written("a", 2, "small"));
    replica.apply(written("a", 3, std::string(store_replica::maximum_kept_bytes + 1, 'x')));
    EXPECT_EQ(replica.changes_after(2)->size(), 1U);
    EXPECT_FALSE(replica.changes_after(1).has_value());
}

// Guards against a gateway that ignores every change after the store was restored, because their revisions
// are lower than those that it knows.
TEST(store_replica, a_write_after_a_restore_is_newer_whatever_its_number) {
    store_replica replica;
    replica.replace_all({written("a", 90, "before")}, 95);
    replica.begin_era({restored(written("a", 90, "before"))}, restored(90));
    EXPECT_EQ(replica.revision(), restored(90));
    EXPECT_TRUE(replica.apply(restored(written("a", 91, "after"))));
    EXPECT_FALSE(replica.apply(written("a", 99, "late answer")));
    EXPECT_THAT(replica.all(), ElementsAre(restored(written("a", 91, "after"))));
}

// Guards against a server or an evacuation that counts as removed although it is about to be written again.
TEST(store_replica, keys_that_a_restore_has_lost_stay_until_it_has_settled) {
    store_replica replica;
    replica.replace_all({written("a", 1), written("lost", 8), written("kept", 2)}, 9);
    EXPECT_THAT(replica.begin_era({restored(written("a", 1)), restored(written("kept", 2))}, restored(5)),
                IsEmpty());
    EXPECT_EQ(replica.all().size(), 3U);
    EXPECT_TRUE(replica.apply(restored(erased("a", 6))));
    replica.advance(restored(6));
    EXPECT_THAT(replica.settle_era(), ElementsAre(restored(erased("lost", 6))));
    EXPECT_THAT(replica.all(), ElementsAre(restored(written("kept", 2))));
}

// Guards against a removed server, an ended evacuation or an older configuration that comes back into force,
// because the copy has the write that preceded the change which the store has lost.
TEST(store_replica, an_older_write_in_the_copy_does_not_undo_a_known_change) {
    store_replica replica;
    replica.replace_all({}, 1);
    for (const auto& change : {written("removed", 2), written("config", 3, "old"), erased("removed", 6),
                               written("config", 7, "new")}) {
        replica.apply(change);
    }
    const std::vector<store_record> copy{restored(written("removed", 2)),
                                         restored(written("config", 3, "old"))};
    EXPECT_THAT(replica.begin_era(copy, restored(4)), IsEmpty());
    EXPECT_THAT(replica.all(), ElementsAre(written("config", 7, "new")));
    EXPECT_TRUE(replica.apply(restored(written("config", 5, "new"))));
    // The removal was not written again.
    EXPECT_THAT(replica.settle_era(), ElementsAre(restored(written("removed", 2))));
}

// Guards against a server that is ignored after a restore, because it has written its entry again before the
// gateway listed the store.
TEST(store_replica, a_write_of_the_new_era_is_no_older_write_of_the_copy) {
    store_replica replica;
    replica.replace_all({}, 1);
    replica.apply(written("s", 2, "ready"));
    replica.apply(written("s", 6, "draining"));
    EXPECT_THAT(replica.begin_era({restored(written("s", 5, "draining again"))}, restored(5)),
                ElementsAre(restored(written("s", 5, "draining again"))));
}

// Guards against a peer that gets changes of an era which it has not listed.
TEST(store_replica, a_peer_of_an_earlier_era_needs_all_records) {
    store_replica replica;
    replica.replace_all({written("a", 1)}, 90);
    replica.begin_era({restored(written("a", 1))}, restored(40));
    EXPECT_FALSE(replica.changes_after(90).has_value());
    EXPECT_THAT(replica.changes_after(restored(40)).value(), IsEmpty());
}

} // namespace
} // namespace carawayway::fleet
