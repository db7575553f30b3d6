// Tests of calls to stores whose answers are too large, never end or are no HTTP.
#include "carawayway/gateway/store_channel.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>

namespace carawayway::gateway {
namespace {

using boost::asio::ip::tcp;

class store_channel_test : public testing::Test {
protected:
    // Answers the next call with `begin` and then `part` again and again, until the connection is closed. An
    // empty part closes it at once.
    void answer_with(const std::string& begin, const std::string& part) {
        m_begin = begin;
        m_part = part;
        m_sent_bytes = 0;
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            ASSERT_FALSE(error);
            m_peer = std::move(socket);
            m_peer.async_read_some(boost::asio::buffer(m_call),
                                   [this](boost::system::error_code, std::size_t) { write(m_begin); });
        });
    }

    void write(const std::string& text) {
        boost::asio::async_write(m_peer, boost::asio::buffer(text),
                                 [this](boost::system::error_code error, std::size_t size) {
                                     m_sent_bytes += size;
                                     if (error || m_part.empty() || m_sent_bytes >= most_sent_bytes) {
                                         m_peer.set_option(boost::asio::socket_base::linger(m_resets, 0));
                                         m_peer.close();
                                         return;
                                     }
                                     write(m_part);
                                 });
    }

    std::optional<store_response> call(std::size_t body_bytes = 0) {
        store_channel channel(m_context.get_executor(), m_acceptor.local_endpoint());
        std::optional<store_response> response;
        bool is_done = false;
        boost::asio::co_spawn(m_context, channel.call({"/kv-watch", std::string(body_bytes, 'b')}, timeout),
                              [&](const std::exception_ptr&, std::optional<store_response> answer) {
                                  response = std::move(answer);
                                  is_done = true;
                              });
        while (!is_done) {
            m_context.run_one();
        }
        return response;
    }

    static constexpr std::chrono::seconds timeout{30};
    static constexpr std::size_t most_sent_bytes = 64U << 20U;
    // What the kernel may hold of one connection, on both sides, and a listing.
    static constexpr std::size_t allowed_bytes = 24U << 20U;

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    tcp::socket m_peer{m_context};
    std::array<char, 4096> m_call{};
    std::string m_begin;
    std::string m_part;
    std::size_t m_sent_bytes = 0;
    bool m_resets = false; // connections are reset, not closed
};

// Guards against a gateway that is killed because it buffers an answer of the store that never ends.
TEST_F(store_channel_test, an_answer_that_never_ends_is_given_up) {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string many(64U << 10U, 'x');
    const std::vector<std::pair<std::string, std::string>> answers{
        {head + "X: ", many},         {head + "\r\n", many},
        {chunked + "0\r\nX: ", many}, {chunked + "0;x=", many},
        {chunked + "1;x=", many},     {chunked, "1;x=" + std::string(1000, 'x') + "\r\nA\r\n"},
    };
    for (const auto& [begin, part] : answers) {
        answer_with(begin, part);
        const auto response = call();
        EXPECT_TRUE(!response || (response->is_too_large && response->body.empty())) << begin;
        EXPECT_LT(m_sent_bytes, allowed_bytes) << begin;
        m_context.run(); // until the peer has noticed that the connection is closed
        m_context.restart();
    }
}

// Guards against taking a part for the whole, whether the call is still being written or not.
TEST_F(store_channel_test, an_answer_without_length_does_not_end_with_a_reset) {
    // The larger one is more than the kernel takes while the peer does not read.
    for (const std::size_t body_bytes : {std::size_t{0}, std::size_t{32U << 20U}}) {
        m_resets = true;
        answer_with("HTTP/1.1 200 OK\r\n\r\n{", "");
        EXPECT_FALSE(call(body_bytes)) << body_bytes;
    }
    m_resets = false;
    answer_with("HTTP/1.1 200 OK\r\n\r\n{}", "");
    EXPECT_TRUE(call());
}

// Guards against the use of what it says: the headers of an answer count whatever its status is.
TEST_F(store_channel_test, an_answer_that_http_does_not_allow_is_none) {
    for (const std::string status : {"000", "099", "600", "999"}) {
        answer_with("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 2\r\n\r\n{}", "");
        EXPECT_FALSE(call()) << status;
    }
    for (const std::string line : {" Content-Length: 2", "Content-Length : 2", "Content-Length\x01: 2"}) {
        answer_with("HTTP/1.1 200 OK\r\nServer: s\r\n" + line + "\r\n\r\n{} and more", "");
        EXPECT_FALSE(call()) << line;
    }
    answer_with("HTTP/1.1 503 Trouble\r\nContent-Length: 2\r\n\r\n{}", "");
    EXPECT_TRUE(call());
}

} // namespace
} // namespace carawayway::gateway
