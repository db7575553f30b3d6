// Runs the stand-ins on one thread, and calls gateways from the thread of the case.
#include "review/shared-3/small_deployment.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include <arpa/inet.h>
#include <cstdio>
#include <future>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace carawayway::review {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds work_time{10};
constexpr milliseconds pause_between_parts{100};

// Those of the sheet of ktl-tiski.
constexpr const char* bounds =
    "seedStalenessS=3,reuseDelayS=2,touchMs=3000,ackMs=4000,catchUpS=4,drainMs=2500,graceS=6,lossSlackMs=200,"
    "configApplyMs=2500,rollbackSlackMs=250,maxStretchMs=5000,budgetRatio=0.2,budgetWindowS=10,budgetSlack="
    "60,"
    "coldOver=1.5,coldSlack=5,evacMs=5000,recoverS=15,ttl_max_s=5,shiftMost=0.15";

sockaddr_in socket_address(const std::string& ip, unsigned short port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int milliseconds_until(clock::time_point end) {
    const auto left = std::chrono::duration_cast<milliseconds>(end - clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(0, left));
}

} // namespace

void record_file::write(const std::string& line) {
    const auto time = std::chrono::duration<double>(clock::now() - m_start).count();
    std::string text(16, ' ');
    text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%9.3f s  ", time)));
    m_file << text << line << std::endl;
}

// Works on one request for `work_time`, and answers as PROTOCOL.md says.
struct small_deployment::server {
    server(small_deployment& owner, std::string server_id, std::string server_service,
           std::string server_zone)
        : id(std::move(server_id)), service(std::move(server_service)), zone(std::move(server_zone)),
          listener(owner.m_context, "127.1.2.1",
                   [this, &owner](soak::http_request request) { return answer(owner, std::move(request)); }) {
    }

    boost::asio::awaitable<std::optional<soak::http_response>> answer(small_deployment& owner,
                                                                      soak::http_request request) {
        if (request.target() == "/health") {
            auto healthy = soak::make_response(200);
            healthy.set("Instance-Id", id);
            co_return healthy;
        }
        const std::string request_id(request["Request-Id"]);
        if (request_id.empty() || request["Target-Instance"] != id) {
            auto refused = soak::make_response(request_id.empty() ? 400 : 421);
            refused.set("Request-Id", request_id);
            refused.set("Not-Executed", "1");
            co_return refused;
        }
        {
            const std::lock_guard lock(owner.m_mutex);
            owner.m_runs.push_back(
                {clock::now(), id, service, request_id, std::string(request.target()), request.body()});
        }
        co_await soak::sleep_for(work_time);
        auto done = soak::make_response(200, service + " " + request_id);
        done.set("Request-Id", request_id);
        done.set("Response-Stamp", "s");
        done.set("Server-Load", "1,0,6");
        co_return done;
    }

    std::string id;
    std::string service;
    std::string zone;
    unsigned software_version = 1;
    soak::http_server listener;
};

// Reads requests without a body, or with one in a length, one after the other on each connection.
struct small_deployment::raw_server {
    raw_server(small_deployment& owner_deployment, std::string server_id, std::string server_service,
               std::vector<std::string> answer_parts)
        : owner(owner_deployment), id(std::move(server_id)), service(std::move(server_service)),
          parts(std::move(answer_parts)),
          acceptor(owner.m_context, {boost::asio::ip::make_address("127.1.2.1"), 0}) {
        boost::asio::co_spawn(owner.m_context, accept(), boost::asio::detached);
    }

    std::string address() const { return "127.1.2.1:" + std::to_string(acceptor.local_endpoint().port()); }

    boost::asio::awaitable<void> accept() {
        for (;;) {
            auto socket = co_await acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(owner.m_context, serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket) {
        boost::beast::flat_buffer buffer;
        for (;;) {
            soak::http_request request;
            co_await boost::beast::http::async_read(socket, buffer, request, boost::asio::use_awaitable);
            const std::string request_id(request["Request-Id"]);
            if (request["Target-Instance"] != id) {
                soak::http_response answer = soak::make_response(request.target() == "/health" ? 200 : 421);
                answer.set("Instance-Id", id);
                answer.set("Request-Id", request_id);
                co_await boost::beast::http::async_write(socket, answer, boost::asio::use_awaitable);
                continue;
            }
            {
                const std::lock_guard lock(owner.m_mutex);
                owner.m_runs.push_back(
                    {clock::now(), id, service, request_id, std::string(request.target()), request.body()});
            }
            for (auto part : parts) {
                const auto place = part.find("{id}");
                part = place == std::string::npos ? part : part.replace(place, 4, request_id);
                co_await soak::sleep_for(work_time);
                co_await boost::asio::async_write(socket, boost::asio::buffer(part),
                                                  boost::asio::use_awaitable);
                co_await soak::sleep_for(pause_between_parts);
            }
        }
    }

    small_deployment& owner;
    std::string id;
    std::string service;
    std::vector<std::string> parts;
    boost::asio::ip::tcp::acceptor acceptor;
};

small_deployment::small_deployment(std::string folder)
    : m_folder(std::move(folder)), m_work(m_context.get_executor()),
      m_store(std::make_unique<soak::store_stand_in>(m_context)), m_thread([this] { m_context.run(); }) {}

small_deployment::~small_deployment() {
    m_links.clear();
    m_context.stop();
    m_thread.join();
    for (const int socket : m_reserved) {
        ::close(socket);
    }
}

void small_deployment::on_loop(const std::function<void()>& action) {
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void small_deployment::register_server(const std::string& id, const std::string& service,
                                       const std::string& zone, const std::string& address,
                                       unsigned software_version) {
    const json::object info{
        {"service", service}, {"version", std::to_string(software_version)}, {"zone", zone}, {"slots", 6}};
    const json::object status{{"state", "ready"}, {"seq", 1}, {"coldLeftMs", 0}};
    m_store->put(
        "servers/" + id,
        json::object{{"address", address}, {"born", 1'780'000'000'000}, {"info", info}, {"status", status}});
}

void small_deployment::add_server(const std::string& id, const std::string& service,
                                  const std::string& zone) {
    on_loop([&] {
        m_servers.push_back(std::make_unique<server>(*this, id, service, zone));
        register_server(id, service, zone, m_servers.back()->listener.address(), 1);
    });
}

void small_deployment::add_raw_server(const std::string& id, const std::string& service,
                                      const std::string& zone, std::vector<std::string> parts) {
    on_loop([&] {
        m_raw_servers.push_back(std::make_unique<raw_server>(*this, id, service, std::move(parts)));
        register_server(id, service, zone, m_raw_servers.back()->address(), 1);
    });
}

void small_deployment::update_server(std::size_t index) {
    on_loop([&] {
        auto& updated = *m_servers.at(index);
        register_server(updated.id, updated.service, updated.zone, updated.listener.address(),
                        ++updated.software_version);
    });
}

clock::time_point small_deployment::last_renewal(const std::string& gateway) {
    const std::lock_guard lock(m_mutex);
    return m_renewals[gateway];
}

void small_deployment::configure(const std::vector<std::string>& services,
                                 const std::string& booking_service) {
    json::array listed;
    for (const auto& name : services) {
        listed.push_back(json::object{{"name", name},
                                      {"healthPath", "/health"},
                                      {"maxConns", 360},
                                      {"coldStartS", 3},
                                      {"coldPerS", 14}});
    }
    const auto route = [](const char* prefix, const char* kind, const std::string& service) {
        return json::object{{"name", prefix},    {"prefix", prefix},   {"kind", kind},
                            {"timeoutMs", 2500}, {"service", service}, {"targetLatencyMs", 400},
                            {"priority", 1},     {"maxAttempts", 2},   {"sticky", true}};
    };
    char version[16];
    std::snprintf(version, sizeof version, "%08x", m_version += 3);
    const json::array routes{route("/look/", "safe", services.front()),
                             route("/book/", "unsafe", booking_service)};
    const json::object configuration{
        {"version", version},
        {"services", listed},
        {"hosts", json::array{json::object{{"host", "review.example"}, {"paths", routes}}}},
        {"limits", json::object{{"maxHeaderBytes", 16384},
                                {"maxBodyBytes", 1 << 20},
                                {"headerTimeoutMs", 5000},
                                {"idleTimeoutMs", 10000}}}};
    on_loop([&] { m_store->put("op/config", configuration); });
}

unsigned short small_deployment::reserve_port() {
    // Bound on another address of the loopback range, so that the gateway can bind the number on its own.
    const int reserved = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = socket_address("127.0.0.1", 0);
    socklen_t size = sizeof address;
    if (::bind(reserved, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::getsockname(reserved, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("no free port");
    }
    m_reserved.push_back(reserved);
    return ntohs(address.sin_port);
}

gateway_address small_deployment::add_gateway(const std::string& name, const std::string& zone) {
    const std::string ip = "127.1.3." + std::to_string(m_links.size() + 1);
    on_loop([&] {
        m_views[name] = std::make_unique<soak::http_server>(
            m_context, "127.1.1.1",
            [this,
             name](soak::http_request request) -> boost::asio::awaitable<std::optional<soak::http_response>> {
                if (request.target().starts_with("/kv-keep/")) {
                    const std::lock_guard lock(m_mutex);
                    m_renewals[name] = clock::now();
                }
                auto response = co_await m_store->handle(std::move(request));
                co_return response;
            });
    });
    const std::string store = m_views[name]->address();
    const auto colon = store.find(':');
    const boost::asio::ip::tcp::endpoint target{
        boost::asio::ip::make_address(store.substr(0, colon)),
        static_cast<unsigned short>(std::stoi(store.substr(colon + 1)))};
    const stand_ins::route_spec link{"store", {boost::asio::ip::make_address("127.1.4.1"), 0}, target, {}};
    m_links[name] = std::make_unique<stand_ins::link_relay>(std::vector{link});
    gateway_address result{name, ip, reserve_port(), reserve_port()};
    const auto address = [&](unsigned short port) { return ip + ":" + std::to_string(port); };
    std::ofstream file(m_folder + "/" + name + ".ini");
    file << "[gateway]\nname = " << name << "\nfailure_domain = " << zone << "\nregion = " << m_zones.at(zone)
         << "\ncaller_address = " << address(result.callers)
         << "\nreadiness_address = " << address(result.readiness)
         << "\nlookup_address = " << address(reserve_port()) << "\npeer_address = " << address(reserve_port())
         << "\nmetrics_address = " << address(reserve_port())
         << "\nnotice_address = " << address(reserve_port())
         << "\nrelay_address = " << address(reserve_port()) << "\nquota_address = " << address(reserve_port())
         << "\nbounds = " << bounds
         << "\nlog_level = info\n[store]\naddress = " << m_links[name]->address("store")
         << "\nshortest_lease_ms = 1000\n[machine]\nlink_megabits = 1000\nmemory_megabytes = 260\n"
         << "processor_share = 0.2\n";
    for (const auto& [domain, region] : m_zones) {
        file << "[domain " << domain << "]\nregion = " << region << "\n";
    }
    return result;
}

void small_deployment::cut_store_link(const std::string& gateway, bool is_cut) {
    const json::object message{{"route", "store"}, {"unreachable", is_cut}};
    m_links.at(gateway)->control(json::serialize(message));
}

void small_deployment::finish_settings() const {
    std::ofstream(m_folder + "/settings-written") << "1\n";
}

std::vector<server_run> small_deployment::runs() {
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

bool wait_until_ready(const gateway_address& gateway, milliseconds longest) {
    const auto end = clock::now() + longest;
    while (clock::now() < end) {
        const auto answer =
            exchange(gateway, gateway.readiness,
                     "GET /ready HTTP/1.1\r\nHost: review.example\r\nConnection: close\r\n\r\n",
                     milliseconds{500}, [](const std::string& bytes) { return status_of(bytes) != 0; });
        if (status_of(answer) == 200) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds{100});
    }
    return false;
}

std::string exchange(const gateway_address& gateway, unsigned short port, const std::string& bytes,
                     milliseconds longest, const std::function<bool(const std::string&)>& enough) {
    const auto end = clock::now() + longest;
    std::string received;
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = socket_address(gateway.ip, port);
    if (::connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())) {
        while (!enough(received)) {
            pollfd state{connection, POLLIN, 0};
            if (::poll(&state, 1, milliseconds_until(end)) <= 0) {
                break;
            }
            std::string part(4096, '\0');
            const auto count = ::recv(connection, part.data(), part.size(), 0);
            if (count <= 0) {
                break;
            }
            received.append(part, 0, static_cast<std::size_t>(count));
        }
    }
    ::close(connection);
    return received;
}

bool has_whole_answer(const std::string& bytes) {
    const auto end = bytes.find("\r\n\r\n");
    const auto length = bytes.find("Content-Length: ");
    if (end == std::string::npos || length == std::string::npos || length > end) {
        return false;
    }
    return bytes.size() >= end + 4 + std::stoul(bytes.substr(length + 16));
}

int status_of(const std::string& bytes) {
    constexpr std::size_t code_begin = 9; // behind "HTTP/1.1 "
    constexpr std::size_t code_end = 12;
    return bytes.size() >= code_end && bytes.starts_with("HTTP/1.") ? std::stoi(bytes.substr(code_begin, 3))
                                                                    : 0;
}

} // namespace carawayway::review
