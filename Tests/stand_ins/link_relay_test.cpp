// Guards against a cut or stalled link that still lets bytes through. Failover tests on such a link would
// pass without testing anything.
#include "Tests/stand_ins/http_client.hpp"
#include "stand_ins/backend/backend_fleet.hpp"
#include "stand_ins/link/link_relay.hpp"
#include "stand_ins/support/address.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <chrono>

namespace stand_ins {
namespace {

using boost::asio::ip::tcp;
using std::chrono::steady_clock;

class link_relay_test : public testing::Test {
protected:
    static std::vector<route_spec> routes(const tcp::endpoint& target) {
        return {{"link", tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), target, {}}};
    }

    void command(const std::string& fields) {
        EXPECT_EQ(relay.control(R"({"route":"link",)" + fields + "}"), R"({"ok":true})");
    }

    tcp::socket connect() {
        tcp::socket socket(context);
        socket.connect(parse_address(relay.address("link")).value());
        return socket;
    }

    static void send(tcp::socket& socket, const std::string& bytes) {
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }

    // Reads `count` bytes, or fewer when the connection ends first.
    static std::string receive(tcp::socket& socket, std::size_t count) {
        std::string bytes(count, '\0');
        boost::system::error_code error;
        bytes.resize(boost::asio::read(socket, boost::asio::buffer(bytes), error));
        return bytes;
    }

    boost::asio::io_context context;
    tcp::acceptor target =
        open_listener(context.get_executor(), {boost::asio::ip::address_v4::loopback(), 0});
    link_relay relay{routes(target.local_endpoint())};
};

TEST_F(link_relay_test, data_and_end_of_stream_are_relayed_in_both_directions) {
    tcp::socket source = connect();
    tcp::socket accepted = target.accept();
    const std::string large(std::size_t{4} * 1024 * 1024, 'x');
    send(source, "hello");
    EXPECT_EQ(receive(accepted, 5), "hello");
    std::thread sender([&accepted, &large] { send(accepted, large); });
    EXPECT_EQ(receive(source, large.size()), large);
    sender.join();
    source.shutdown(tcp::socket::shutdown_send);
    EXPECT_EQ(receive(accepted, 1), "");
    send(accepted, "still open");
    EXPECT_EQ(receive(source, 10), "still open");
}

TEST_F(link_relay_test, each_direction_is_delayed) {
    command(R"("delay_ms":20)");
    const auto start = steady_clock::now();
    tcp::socket source = connect();
    send(source, "a");
    tcp::socket accepted = target.accept();
    EXPECT_EQ(receive(accepted, 1), "a");
    EXPECT_GE(steady_clock::now() - start, std::chrono::milliseconds(20));
    const auto answered = steady_clock::now();
    send(accepted, "b");
    EXPECT_EQ(receive(source, 1), "b");
    EXPECT_GE(steady_clock::now() - answered, std::chrono::milliseconds(20));
}

TEST_F(link_relay_test, a_cut_resets_connections_and_refuses_new_ones_until_it_ends) {
    tcp::socket source = connect();
    send(source, "a");
    tcp::socket accepted = target.accept();
    EXPECT_EQ(receive(accepted, 1), "a");
    command(R"("cut":true)");
    EXPECT_EQ(receive(source, 1), "");
    EXPECT_EQ(receive(accepted, 1), "");
    EXPECT_THROW(connect(), boost::system::system_error);
    command(R"("cut":false)");
    tcp::socket again = connect();
    tcp::socket accepted_again = target.accept();
    send(again, "b");
    EXPECT_EQ(receive(accepted_again, 1), "b");
}

TEST_F(link_relay_test, a_one_way_stall_blocks_only_one_direction) {
    tcp::socket source = connect();
    tcp::socket accepted = target.accept();
    command(R"("stall":"to_target")");
    send(source, "held");
    send(accepted, "passes");
    EXPECT_EQ(receive(source, 6), "passes");
    EXPECT_EQ(accepted.available(), 0U);
    command(R"("stall":"none")");
    EXPECT_EQ(receive(accepted, 4), "held");
}

TEST_F(link_relay_test, a_stalled_link_accepts_connections_and_delivers_later) {
    command(R"("stall":"both")");
    tcp::socket source = connect();
    send(source, "later");
    target.non_blocking(true);
    boost::system::error_code error;
    target.accept(error);
    EXPECT_EQ(error, boost::asio::error::would_block);
    target.non_blocking(false);
    command(R"("stall":"none")");
    tcp::socket accepted = target.accept();
    EXPECT_EQ(receive(accepted, 5), "later");
}

TEST_F(link_relay_test, the_link_refuses_connections_while_its_target_refuses_them) {
    const auto endpoint = target.local_endpoint();
    target.close();
    tcp::socket first = connect();
    EXPECT_EQ(receive(first, 1), "");
    EXPECT_THROW(connect(), boost::system::system_error);
    target = open_listener(context.get_executor(), endpoint);
    // Accepts the probe by which the link detects that the target is available again. The link opens its
    // listener after that.
    target.accept();
    boost::system::error_code error = boost::asio::error::connection_refused;
    while (error == boost::asio::error::connection_refused) {
        tcp::socket socket(context);
        socket.connect(parse_address(relay.address("link")).value(), error);
    }
    EXPECT_FALSE(error);
}

TEST_F(link_relay_test, an_unreachable_link_delivers_nothing_until_the_fault_ends) {
    tcp::socket source = connect();
    tcp::socket accepted = target.accept();
    command(R"("unreachable":true)");
    send(source, "held");
    tcp::socket attempt(context);
    bool connected = false;
    attempt.async_connect(parse_address(relay.address("link")).value(),
                          [&connected](boost::system::error_code error) { connected = !error; });
    context.poll();
    EXPECT_FALSE(connected);
    EXPECT_EQ(accepted.available(), 0U);
    command(R"("unreachable":false)");
    EXPECT_EQ(receive(accepted, 4), "held");
    context.restart();
    context.run(); // returns when TCP has retransmitted the connection attempt
    EXPECT_TRUE(connected);
}

TEST(route_spec_test, lists_are_parsed_and_invalid_entries_rejected) {
    const auto parsed = parse_route_list("a=127.0.0.1:1=127.0.0.1:2,2.5,127.0.0.1:3=127.0.0.1:4");
    ASSERT_EQ(parsed.size(), 2U);
    EXPECT_EQ(parsed[0].name, "a");
    EXPECT_EQ(parsed[0].delay, std::chrono::microseconds(2500));
    EXPECT_EQ(parsed[1].name, "127.0.0.1:3");
    for (const char* const text : {"20", "a=b", "127.0.0.1:1=127.0.0.1:2,x", "127.0.0.1:1=127.0.0.1:2,-1"}) {
        EXPECT_THROW(parse_route_list(text), std::invalid_argument) << text;
    }
}

} // namespace
} // namespace stand_ins
