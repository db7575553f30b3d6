// Tests of what gateways remember of answers to the variants of a content.
#include "carawayway/steering/answered_variants.hpp"

#include <gtest/gtest.h>

namespace carawayway::steering {
namespace {

using std::chrono::seconds;

const base::time_point start{seconds{1000}};
constexpr std::uint64_t content = 7;
constexpr std::uint64_t content_of_the_same_place = content + answered_variants::capacity;

class answered_variants_test : public testing::Test {
protected:
    void record(std::uint64_t of_content, std::uint64_t variants, base::time_point now) {
        for (std::uint64_t variant = 0; variant < variants; ++variant) {
            m_answered.record(of_content, variant, now);
        }
    }

    answered_variants m_answered;
};

// Guards against content that seems harmless, because a single object of it is answered again and again.
TEST_F(answered_variants_test, each_variant_counts_once_at_all_gateways_together) {
    EXPECT_TRUE(m_answered.record(content, 1, start));
    EXPECT_FALSE(m_answered.record(content, 1, start));
    m_answered.merge(content, set_of_variant(1) | set_of_variant(2), start);
    EXPECT_EQ(m_answered.find(content, start), set_of_variant(1) | set_of_variant(2));
    EXPECT_EQ(excused_losses(set_of_variant(1)), 0U);
    EXPECT_EQ(excused_losses(m_answered.find(content, start)), 1U);
}

// Guards against content that is harmless at first and then takes one server after the other.
TEST_F(answered_variants_test, few_losses_are_excused_however_many_answers_there_are) {
    record(content, 1000, start);
    EXPECT_EQ(excused_losses(m_answered.find(content, start)), 6U);
    EXPECT_TRUE(excuses_most(m_answered.find(content, start)));
    EXPECT_FALSE(excuses_most(0b111));
}

TEST_F(answered_variants_test, answers_count_until_there_was_none_for_the_expiry) {
    record(content, 4, start);
    m_answered.record(content, 1, start + seconds{1});
    const auto last = start + seconds{1} + answered_variants::expiry - seconds{1};
    EXPECT_EQ(excused_losses(m_answered.find(content, last)), 2U);
    EXPECT_EQ(m_answered.find(content, last + seconds{1}), 0U);
    m_answered.record(content, 1, last + seconds{1});
    EXPECT_EQ(m_answered.find(content, last + seconds{1}), set_of_variant(1));
}

// Guards against requests of which each is another content, and which make the gateway forget the others.
TEST_F(answered_variants_test, a_content_that_is_in_use_keeps_its_place) {
    record(content, 2, start);
    m_answered.record(content_of_the_same_place, 1, start + answered_variants::undisturbed - seconds{1});
    EXPECT_EQ(m_answered.find(content_of_the_same_place, start), 0U);
    m_answered.record(content_of_the_same_place, 1, start + answered_variants::undisturbed);
    EXPECT_EQ(m_answered.find(content_of_the_same_place, start), set_of_variant(1));
    EXPECT_EQ(m_answered.find(content, start), 0U);
    record(content, 2, start + answered_variants::undisturbed);
    EXPECT_EQ(m_answered.find(content, start), set_of_variant(0) | set_of_variant(1))
        << "the other was seen once";
}

} // namespace
} // namespace carawayway::steering
