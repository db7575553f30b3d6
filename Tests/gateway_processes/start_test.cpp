// The start of gateway processes, and what may happen to their surroundings.
#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace carawayway::gateway_processes {
namespace {

using boost::asio::ip::tcp;

// Guards against a deployment that does not start because an address was still taken when a process started,
// as by the process before it.
TEST(start_test, a_gateway_waits_for_an_address_that_is_in_use) {
    gateway_fleet fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                        1);
    const auto address = fleet.caller_address(0);
    const auto colon = address.find(':');
    boost::asio::io_context context;
    fleet.kill_gateway(0);
    std::optional<tcp::acceptor> holder(
        std::in_place, context,
        tcp::endpoint(boost::asio::ip::make_address(address.substr(0, colon)),
                      static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))));
    std::thread other_process([&] {
        test_support::wait_until([&] { return fleet.has_logged(0, "event=address-unavailable"); });
        holder.reset();
    });
    fleet.start_gateway(0, fleet.program_of(0));
    other_process.join();
    EXPECT_TRUE(fleet.has_logged(0, address)) << "the log names the address";
    EXPECT_EQ(fleet.send(0, "GET", "/read/1").status, 200U);
}

// Guards against a gateway that is killed by SIGPIPE as soon as it logs after the reader of its log has
// ended.
TEST(start_test, a_gateway_outlives_the_reader_of_its_log) {
    const test_support::temporary_folder folder;
    const soak::gateway_ports ports;
    const test_support::reserved_port unused;
    folder.write("gateway.ini", soak::gateway_settings("a1-0", "a1", ports, unused.on("127.1.3.1"),
                                                       gateway_fleet::retry_limit));
    const auto log = folder.path() + "/log";
    ASSERT_EQ(::mkfifo(log.c_str(), S_IRUSR | S_IWUSR), 0);
    const int reader = ::open(log.c_str(), O_RDONLY | O_NONBLOCK);
    ASSERT_GE(reader, 0);
    test_support::child_process gateway(
        {CARAWAYWAY_PROGRAM, "gateway", "--settings", folder.path() + "/gateway.ini"}, log);
    std::string received;
    std::array<char, 4096> chunk{};
    EXPECT_TRUE(test_support::wait_until([&] {
        const auto size = ::read(reader, chunk.data(), chunk.size());
        received.append(chunk.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        return received.find("event=limits-in-force") != std::string::npos;
    }));
    ::close(reader);
    gateway.send_signal(SIGHUP); // is logged
    gateway.send_signal(SIGTERM);
    EXPECT_EQ(gateway.wait(), 0);
}

} // namespace
} // namespace carawayway::gateway_processes
