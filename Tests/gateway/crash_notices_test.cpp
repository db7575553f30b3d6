// Tests of the notices about lost servers, over loopback.
#include "carawayway/gateway/crash_notice_codec.hpp"
#include "carawayway/gateway/crash_notices.hpp"

#include <boost/asio/io_context.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawayway::gateway {
namespace {

using boost::asio::ip::udp;
using steering::crash_count;
using testing::ElementsAre;
using testing::UnorderedElementsAre;

std::span<const std::byte> bytes_of(const std::string& text) {
    return std::as_bytes(std::span(text));
}

TEST(crash_notice_codec_test, a_decoded_notice_equals_the_encoded_one) {
    const std::vector<crash_count> counts{
        {0xfedcba9876543210U, 2, 0x8000000000000001U}, {1, 0}, {2, 3, 0, true, 0x4000000000000002U}};
    EXPECT_EQ(decode_crash_notice(bytes_of(encode_crash_notice(counts))), counts);
}

TEST(crash_notice_codec_test, a_truncated_notice_is_invalid) {
    const auto payload = encode_crash_notice(std::vector<crash_count>{{1, 1}});
    for (std::size_t size = 0; size < payload.size(); ++size) {
        EXPECT_EQ(decode_crash_notice(bytes_of(payload.substr(0, size))), std::nullopt) << size;
    }
}

TEST(crash_notice_codec_test, the_largest_notice_fits_into_one_packet) {
    constexpr std::size_t packet_payload_bytes = 1472;
    const std::vector<crash_count> counts(crash_notices::maximum_counts,
                                          {UINT64_MAX, UINT32_MAX, UINT64_MAX, true, UINT64_MAX});
    EXPECT_LE(encode_crash_notice(counts).size(), packet_payload_bytes);
}

class crash_notices_test : public testing::Test {
protected:
    static udp::endpoint any_port() { return {boost::asio::ip::address_v4::loopback(), 0}; }

    void run_until(const std::function<bool()>& condition) {
        while (!condition()) {
            m_context.run_one();
        }
    }

    boost::asio::io_context m_context;
    std::vector<std::vector<crash_count>> m_received;
    std::vector<crash_count> m_reply; // of the receiver
    std::vector<std::vector<crash_count>> m_replies;
    std::vector<udp::endpoint> m_recipients;
    crash_notices m_sender{m_context.get_executor(), any_port(), [this] { return m_recipients; },
                           [this](const auto& counts) {
                               m_replies.push_back(counts);
                               return std::vector<crash_count>{};
                           }};
    crash_notices m_receiver{m_context.get_executor(), any_port(),
                             [] { return std::vector<udp::endpoint>{}; },
                             [this](const auto& counts) {
                                 m_received.push_back(counts);
                                 return m_reply;
                             }};
};

// Guards against a lost datagram that leaves a gateway without knowledge of a crash.
TEST_F(crash_notices_test, a_count_is_sent_again_to_gateways_that_missed_it) {
    m_sender.share({7, 1});
    run_until([this] { return m_context.stopped() || m_context.poll() == 0; });
    m_recipients = {m_receiver.endpoint()};
    run_until([this] { return !m_received.empty(); });
    EXPECT_THAT(m_received.front(), ElementsAre(crash_count{7, 1}));
}

// Guards against a repeated older count that makes cleared content suspect again.
TEST_F(crash_notices_test, a_newer_count_replaces_one_that_is_to_be_repeated) {
    m_recipients = {m_receiver.endpoint()};
    m_sender.share({7, 1});
    run_until([this] { return m_received.size() == 1; });
    m_sender.share({7, 0});
    run_until([this] { return m_received.size() == 1 + crash_notices::send_times.size(); });
    EXPECT_THAT(m_received.at(1), ElementsAre(crash_count{7, 0}));
    EXPECT_THAT(m_received.at(2), ElementsAre(crash_count{7, 0}));
    EXPECT_THAT(m_received.at(3), ElementsAre(crash_count{7, 0}));
}

TEST_F(crash_notices_test, counts_that_are_shared_together_travel_together) {
    m_recipients = {m_receiver.endpoint()};
    m_sender.share({7, 1});
    m_sender.share({8, 2});
    run_until([this] { return !m_received.empty(); });
    EXPECT_THAT(m_received.front(), UnorderedElementsAre(crash_count{7, 1}, crash_count{8, 2}));
}

// Guards against a gateway that goes on telling the others less than it has learned.
TEST_F(crash_notices_test, a_reply_is_sent_on_with_the_repeats_of_its_count) {
    m_recipients = {m_receiver.endpoint()};
    m_reply = {{7, 1, 0b10, false, 0b100}};
    m_sender.share({7, 1, 0b01});
    run_until([this] { return m_replies.size() == 1 && m_received.size() == 2; });
    EXPECT_THAT(m_replies.front(), ElementsAre(crash_count{7, 1, 0b10, false, 0b100}));
    EXPECT_THAT(m_received.at(0), ElementsAre(crash_count{7, 1, 0b01}));
    EXPECT_THAT(m_received.at(1), ElementsAre(crash_count{7, 1, 0b11, false, 0b100}));
}

TEST_F(crash_notices_test, other_datagrams_are_ignored) {
    udp::socket stranger(m_context, any_port());
    stranger.send_to(boost::asio::buffer("not a notice", 12), m_receiver.endpoint());
    m_recipients = {m_receiver.endpoint()};
    m_sender.share({7, 1});
    run_until([this] { return !m_received.empty(); });
    EXPECT_THAT(m_received.front(), ElementsAre(crash_count{7, 1}));
}

} // namespace
} // namespace carawayway::gateway
