// A server that responds as a test tells it to, and exchanges with it.
#pragma once

#include "carawayway/gateway/request_relay.hpp"
#include "carawayway/gateway/server_exchange.hpp"
#include "platform/protocol.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <thread>

namespace carawayway::gateway {

class server_exchange_test : public testing::Test {
protected:
    using exchange = server_exchange<platform::protocol>;
    using tcp = boost::asio::ip::tcp;

    server_exchange_test() {
        fleet::server_registration registration;
        registration.id = "i-1";
        m_servers.put(registration, base::monotonic_now());
        m_server = m_servers.find("i-1");
    }

    // Starts a server that writes one of `responses` per request, and closes the connection after the last.
    void serve(std::vector<std::string> responses) {
        m_responses = std::move(responses);
        accept_next();
    }

    void accept_next() {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (!error) {
                m_peer = std::move(socket);
                accept_next();
                respond_next();
            }
        });
    }

    void respond_next() {
        m_peer.async_read_some(boost::asio::buffer(m_chunk),
                               [this](boost::system::error_code error, std::size_t size) {
                                   if (error) {
                                       return;
                                   }
                                   m_last_request.assign(m_chunk.data(), size);
                                   ++m_requests;
                                   const std::string response = m_responses.front();
                                   m_responses.erase(m_responses.begin());
                                   boost::asio::write(m_peer, boost::asio::buffer(response));
                                   if (!m_endless_part.empty()) {
                                       write_endlessly();
                                       return;
                                   }
                                   if (m_responses.empty()) {
                                       end_connection();
                                       return;
                                   }
                                   respond_next();
                               });
    }

    // Writes `m_endless_part` until the connection is closed, but not for ever.
    void write_endlessly() {
        boost::asio::async_write(m_peer, boost::asio::buffer(m_endless_part),
                                 [this](boost::system::error_code error, std::size_t size) {
                                     m_endless_bytes += size;
                                     if (error || m_endless_bytes >= most_endless_bytes) {
                                         end_connection();
                                         return;
                                     }
                                     write_endlessly();
                                 });
    }

    void end_connection() {
        if (m_shuts_down) {
            m_peer.shutdown(tcp::socket::shutdown_send);
        }
        if (m_resets) {
            m_peer.set_option(boost::asio::socket_base::linger(true, 0));
        }
        m_peer.close();
    }

    // Runs the event loop until it has nothing to do at once.
    void deliver() {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
        m_context.poll();
    }

    // The outcome of a request with this ID on a connection that has carried one other request with its
    // response. The server writes `bytes` and closes the connection.
    exchange_result send_on_kept_connection(const std::string& request_id, const std::string& bytes) {
        m_pool.clear();
        m_responses.clear();
        m_peer.close();
        m_responses = {response_with("earlier", "first"), bytes};
        EXPECT_EQ(send("earlier").outcome, exchange_outcome::answered);
        auto result = send(request_id);
        EXPECT_TRUE(result.reused_connection);
        return result;
    }

    static constexpr std::chrono::milliseconds time_left{5000}; // until the deadline of a request

    // Runs the event loop only after `delay`.
    exchange_result send(const std::string& request_id, std::chrono::milliseconds delay = {}) {
        if (m_sends_to_gateway) {
            return send_call(peer_call{{}, "key", base::monotonic_now(), {}}, request_id, delay);
        }
        return send_call(
            server_call<platform::protocol>{base::monotonic_now() + time_left, m_servers, m_server},
            request_id, delay);
    }

    template <exchange_call Call>
    exchange_result send_call(Call call, const std::string& request_id, std::chrono::milliseconds delay) {
        auto request = std::make_shared<http_request>(http::verb::post, "/", 11);
        request->set(http::field::host, "h");
        request->body() = m_body;
        request->prepare_payload();
        return send_request(request, request_id, std::move(call), delay);
    }

    exchange_result send_request(const std::shared_ptr<http_request>& request,
                                 const std::string& request_id) {
        return send_request(
            request, request_id,
            server_call<platform::protocol>{base::monotonic_now() + time_left, m_servers, m_server}, {});
    }

    template <exchange_call Call>
    exchange_result send_request(const std::shared_ptr<http_request>& request, const std::string& request_id,
                                 Call call, std::chrono::milliseconds delay) {
        const exchange_limits limits{std::chrono::seconds{5}, std::chrono::seconds{5}, 1U << 20U};
        auto sent = std::make_shared<server_exchange<platform::protocol, Call>>(
            m_context.get_executor(), m_pool, m_memory, "i-1", m_acceptor.local_endpoint(), limits,
            std::move(call));
        std::optional<exchange_result> result;
        sent->start(request, request_id,
                    [&result](exchange_result completed) { result = std::move(completed); });
        std::this_thread::sleep_for(delay);
        while (!result) {
            m_context.run_one();
        }
        return std::move(*result);
    }

    static std::string response_with(const std::string& request_id, const std::string& body) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + request_id +
               "\r\nResponse-Stamp: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    // `id_field` is the line with the request ID, or empty.
    static std::string refusal_with(const std::string& status_line, const std::string& id_field) {
        return "HTTP/1.1 " + status_line + "\r\n" + id_field +
               "Not-Executed: 1\r\nServer-Load: 12,3,8\r\nContent-Length: 0\r\n\r\n";
    }

    static constexpr std::size_t most_endless_bytes = 64U << 20U;
    // More than the kernel takes while the peer does not read.
    static constexpr std::size_t upload_bytes = 32U << 20U;
    // What the kernel may hold of one connection, on both sides.
    static constexpr std::size_t socket_buffer_bytes = 16U << 20U;

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
    tcp::socket m_peer{m_context};
    placement::server_table m_servers{{"g", "a", "r", {{"a", "r"}}}, {}};
    placement::server_handle m_server;
    backend_pool m_pool;
    message_memory m_memory{64U << 20U};
    std::vector<std::string> m_responses;
    std::array<char, 4096> m_chunk{};
    std::string m_last_request;
    std::string m_endless_part; // follows the first response without end, if not empty
    std::size_t m_endless_bytes = 0;
    int m_requests = 0;
    std::string m_body;              // of requests
    bool m_resets = false;           // connections are reset, not closed
    bool m_shuts_down = false;       // before connections are reset
    bool m_sends_to_gateway = false; // as relayed requests
};

} // namespace carawayway::gateway
