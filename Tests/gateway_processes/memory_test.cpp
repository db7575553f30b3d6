// Memory of gateways when callers and other processes send as much as they can.
#include "Tests/gateway_processes/gateway_fleet.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>

namespace carawayway::gateway_processes {
namespace {

using boost::asio::ip::tcp;

// Of the smallest machine that runs a gateway, which is the default of the settings.
constexpr std::size_t machine_memory_bytes = 160'000'000;
// A gateway stays below this, so that what the kernel holds for it has room.
constexpr std::size_t allowed_bytes = machine_memory_bytes * 7 / 10;

class raw_connection {
public:
    explicit raw_connection(const std::string& address) : m_socket(m_context) {
        const auto colon = address.find(':');
        m_socket.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    }

    // Returns false when the connection was closed before everything was written.
    bool write(std::string_view bytes) {
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(bytes.data(), bytes.size()), error);
        return !error;
    }

    // Reads until the connection is closed, or the text has a whole head.
    std::string read_head() {
        std::string text;
        std::array<char, 4096> chunk{};
        boost::system::error_code error;
        while (!error && text.find("\r\n\r\n") == std::string::npos) {
            text.append(chunk.data(), m_socket.read_some(boost::asio::buffer(chunk), error));
        }
        return text;
    }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
};

gateway_fleet one_gateway() {
    return gateway_fleet(gateway_fleet::crashing_booking, soak::server_stand_in::end_kind::reset_connections,
                         1);
}

std::vector<std::thread> run_at_once(std::size_t count, const std::function<void(std::size_t)>& action) {
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < count; ++index) {
        threads.emplace_back(action, index);
    }
    return threads;
}

void join(std::vector<std::thread>& threads) {
    for (auto& thread : threads) {
        thread.join();
    }
}

// Guards against a gateway that is killed because several callers send bodies that it permits at the same
// time.
TEST(memory_test, large_bodies_of_many_callers_are_taken_one_after_the_other) {
    constexpr std::size_t callers = 12;
    constexpr std::size_t body_bytes = 24U << 20U;
    auto fleet = one_gateway();
    std::atomic<std::size_t> served = 0;
    std::atomic<std::size_t> refused = 0;
    const std::string body(body_bytes, 'b');
    auto large = run_at_once(callers, [&](std::size_t index) {
        raw_connection caller(fleet.caller_address(0));
        const bool in_chunks = index % 2 == 1;
        const auto framing = in_chunks ? std::string("Transfer-Encoding: chunked")
                                       : fmt::format("Content-Length: {}", body_bytes);
        caller.write(
            fmt::format("POST /book/{} HTTP/1.1\r\nHost: fleet.example\r\nRequest-Id: large-{}\r\n{}\r\n\r\n",
                        index, index, framing));
        bool is_open = true;
        constexpr std::size_t part_bytes = 1U << 20U;
        for (std::size_t at = 0; at < body_bytes && is_open; at += part_bytes) {
            const auto part = std::string_view(body).substr(at, part_bytes);
            is_open = (!in_chunks || caller.write("100000\r\n")) && caller.write(part) &&
                      (!in_chunks || caller.write("\r\n"));
        }
        if (is_open && in_chunks) {
            caller.write("0\r\n\r\n");
        }
        const auto head = caller.read_head();
        served += head.starts_with("HTTP/1.1 200") ? 1U : 0U;
        refused +=
            head.starts_with("HTTP/1.1 503") && head.find("Retry-After: ") != std::string::npos ? 1U : 0U;
    });
    for (int look_up = 0; look_up < 100; ++look_up) {
        EXPECT_EQ(fleet.send(0, "GET", fmt::format("/read/{}", look_up)).status, 200U)
            << "beside large bodies";
    }
    join(large);
    EXPECT_GT(served, 0U);
    EXPECT_GT(refused, 0U);
    const auto peak = fleet.peak_memory_bytes(0);
    RecordProperty("peak_mib", static_cast<int>(peak >> 20U));
    EXPECT_LT(peak, allowed_bytes);
    std::vector<std::string> request_ids;
    for (std::size_t index = 0; index < callers; ++index) {
        request_ids.push_back(fmt::format("large-{}", index));
    }
    EXPECT_EQ(fleet.executed_of(request_ids), served) << "a refused request has not run";
}

// Guards against the same by requests whose bytes do not end.
TEST(memory_test, requests_without_end_do_not_exhaust_the_memory_of_a_gateway) {
    auto fleet = one_gateway();
    const std::vector<std::string> begins{
        "GET /read/1 HTTP/1.1\r\nX: ",
        "POST /book/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ",
        "POST /book/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x="};
    const std::string part(1U << 20U, 'x');
    auto senders = run_at_once(24, [&](std::size_t index) {
        raw_connection caller(fleet.caller_address(0));
        caller.write(begins[index % begins.size()]);
        constexpr int parts = 48;
        for (int count = 0; count < parts && caller.write(part); ++count) {
        }
    });
    join(senders);
    EXPECT_LT(fleet.peak_memory_bytes(0), allowed_bytes);
    EXPECT_EQ(fleet.send(0, "GET", "/read/1").status, 200U);
}

// Guards against a gateway that makes room for whatever length the requests of other gateways announce.
TEST(memory_test, announced_lengths_of_other_gateways_take_no_memory) {
    auto fleet = one_gateway();
    constexpr std::string_view eight_mebibytes("\0\0\x80\0", 4); // little endian
    std::vector<std::unique_ptr<raw_connection>> peers;
    for (int peer = 0; peer < 64; ++peer) {
        peers.push_back(std::make_unique<raw_connection>(fleet.peer_address(0)));
        peers.back()->write(eight_mebibytes);
    }
    for (const auto& peer : peers) {
        EXPECT_EQ(peer->read_head(), "");
    }
    EXPECT_LT(fleet.peak_memory_bytes(0), allowed_bytes);
    EXPECT_EQ(fleet.send(0, "GET", "/read/1").status, 200U);
}

} // namespace
} // namespace carawayway::gateway_processes
