// A backend server, as PROTOCOL.md describes it: it registers in the store, answers its health path and turns
// away what is meant for another instance. What it does with a request is up to the case.
#pragma once

#include "review/world_2/net.hpp"
#include "review/world_2/store.hpp"

#include <fmt/format.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace review {

class server : public std::enable_shared_from_this<server> {
public:
    // Reads the body, works, and answers on the connection. Returns whether the connection stays open.
    using work = std::function<bool(server&, int connection, reader& input, const message_head& request)>;

    // `cold` is zero for a server that starts before traffic.
    server(std::string id, std::string service, std::string zone, store& entries, work run,
           std::chrono::milliseconds cold = {})
        : m_id(std::move(id)), m_service(std::move(service)), m_zone(std::move(zone)), m_store(entries),
          m_run(std::move(run)), m_cold_until(clock::now() + cold) {}

    const std::string& id() const { return m_id; }

    bool start() {
        m_listener = listen_at_free_port(m_port);
        if (m_listener < 0) {
            return false;
        }
        std::thread([self = shared_from_this()] { self->accept_callers(); }).detach();
        std::thread([self = shared_from_this()] { self->tell_store(); }).detach();
        return true;
    }

    // Requests that the server is working on.
    int running() const { return m_running; }
    bool has_crashed() const { return m_has_crashed; }

    std::int64_t cold_left_ms() const {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_cold_until - clock::now());
        return std::max<std::int64_t>(0, left.count());
    }

    // Ends at once, without a word: connections are reset, and new ones refused.
    void crash() {
        m_has_crashed = true;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int connection : m_connections) {
            const linger at_once{1, 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
            ::shutdown(connection, SHUT_RDWR);
        }
    }

    // The head of a good answer, without the length of the body.
    std::string good_head(const message_head& request) const {
        return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: stamp.{}\r\n",
                           request.header("request-id"), m_id);
    }

    bool answer(int connection, const message_head& request, const std::string& body) const {
        return send_all(connection,
                        good_head(request) + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body);
    }

private:
    void tell_store() {
        constexpr std::chrono::milliseconds heartbeat{1500};
        for (int sequence = 1; !m_has_crashed; ++sequence) {
            m_store.put("servers/" + m_id,
                        fmt::format(R"({{"address":"127.0.0.1:{}","info":{{"service":"{}","version":"v1",)"
                                    R"("zone":"{}","slots":6}},"status":{{"state":"ready","seq":{},)"
                                    R"("coldLeftMs":{}}}}})",
                                    m_port, m_service, m_zone, sequence, cold_left_ms()));
            std::this_thread::sleep_for(heartbeat);
        }
        std::this_thread::sleep_for(heartbeat * 3); // of silence
        m_store.remove("servers/" + m_id);
    }

    void accept_callers() {
        while (!m_has_crashed) {
            const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0) {
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(connection);
            }
            std::thread([self = shared_from_this(), connection] { self->serve(connection); }).detach();
        }
    }

    void serve(int connection) {
        reader input(connection);
        bool is_open = true;
        while (is_open && !m_has_crashed) {
            const auto request = input.read_head();
            is_open = request && handle(connection, input, *request);
        }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(connection);
        ::close(connection);
    }

    bool handle(int connection, reader& input, const message_head& request) {
        if (request.target() == "/health") {
            return send_all(connection, fmt::format("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nCold-Ms: {}\r\n"
                                                    "Content-Length: 0\r\n\r\n",
                                                    m_id, cold_left_ms()));
        }
        const auto expected = request.header("target-instance");
        if (!expected.empty() && expected != m_id) {
            input.read_body(request.content_length());
            return send_all(connection, fmt::format("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {}\r\n"
                                                    "Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                                                    request.header("request-id"), m_id));
        }
        ++m_running;
        const bool is_open = m_run(*this, connection, input, request);
        --m_running;
        return is_open;
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    store& m_store;
    work m_run;
    clock::time_point m_cold_until;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<int> m_running = 0;
    std::atomic<bool> m_has_crashed = false;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

// A configuration with the limits of the small deployments, and one route for each of two services.
inline std::string configuration(int lookup_timeout_ms, int order_timeout_ms) {
    const auto service = [](std::string_view name) {
        return fmt::format(
            R"({{"name":"{}","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,)"
            R"("coldStartS":3.0,"coldPerS":14.0}})",
            name);
    };
    const auto route = [](std::string_view prefix, std::string_view kind, int timeout,
                          std::string_view name) {
        return fmt::format(
            R"({{"name":"r-{}","prefix":"{}","kind":"{}","timeoutMs":{},"targetLatencyMs":400,)"
            R"("priority":1,"service":"{}","maxAttempts":2,"sticky":false,"allowedRegions":[]}})",
            name, prefix, kind, timeout, name);
    };
    return fmt::format(R"({{"version":"00000007","services":[{},{}],"limits":{{"maxHeaderBytes":16384,)"
                       R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},)"
                       R"("hosts":[{{"host":"shop.example","paths":[{},{}]}}]}})",
                       service("saatavuus"), service("varaus"),
                       route("/lookup/", "safe", lookup_timeout_ms, "saatavuus"),
                       route("/order/", "unsafe", order_timeout_ms, "varaus"));
}

} // namespace review
