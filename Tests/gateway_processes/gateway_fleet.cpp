// Starts the processes, replaces ended servers and sends requests.
#include "Tests/gateway_processes/gateway_fleet.hpp"

#include "stand_ins/support/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>

namespace carawayway::gateway_processes {

namespace {

namespace json = boost::json;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr std::size_t servers_per_domain = 4;
// From the end of a server until its entry is replaced by that of the next incarnation.
constexpr milliseconds restart_delay{1500};
constexpr int route_timeout_ms = 3000;
// Until operators and servers write again what a restored store has lost.
constexpr milliseconds rewrite_delay{500};

} // namespace

gateway_fleet::gateway_fleet(std::string crashing_prefix, soak::server_stand_in::end_kind end_kind,
                             std::size_t gateways, const std::set<std::size_t>& behind_links,
                             const std::map<std::size_t, std::string>& programs, const fleet_limits& limits)
    : m_store(m_context), m_crashing_prefix(std::move(crashing_prefix)), m_end_kind(end_kind),
      m_loop_thread([this] {
          const auto work = boost::asio::make_work_guard(m_context);
          m_context.run();
      }) {
    run_on_loop([this] {
        for (std::size_t index = 0; index < servers_per_domain; ++index) {
            add_server("a1");
            add_server("b1");
        }
        publish_configuration();
        std::map<std::string, std::string> address_of_server;
        for (const auto& server : m_servers) {
            address_of_server[server->id()] = std::string(server->registration().at("address").as_string());
        }
        m_links = std::make_unique<soak::linked_servers>(m_context, m_store, address_of_server);
    });
    for (std::size_t index = 0; index < gateways; ++index) {
        auto made = std::make_unique<gateway>();
        const std::string domain = index % 2 == 0 ? "a1" : "b1";
        made->name = fmt::format("{}-{}", domain, index);
        made->program = programs.contains(index) ? programs.at(index) : CARAWAYWAY_PROGRAM;
        const auto store = behind_links.contains(index) ? m_links->store_address() : m_store.address();
        m_folder.write(made->name + ".ini",
                       "[gateway]\n" + limits.gateway_lines +
                           soak::gateway_settings(made->name, domain, made->ports, store, retry_limit)
                               .substr(std::string_view("[gateway]\n").size()) +
                           limits.sections);
        made->settings = m_folder.path() + "/" + made->name + ".ini";
        m_gateways.push_back(std::move(made));
    }
    start_gateways();
}

gateway_fleet::~gateway_fleet() {
    m_gateways.clear(); // kills the processes
    m_context.stop();
    m_loop_thread.join();
}

void gateway_fleet::run_on_loop(const std::function<void()>& action) {
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void gateway_fleet::publish_configuration() {
    const auto route = [](const char* prefix, const char* kind) {
        return json::object{
            {"prefix", prefix},       {"kind", kind},  {"service", "orders"}, {"timeoutMs", route_timeout_ms},
            {"targetLatencyMs", 250}, {"priority", 0}, {"maxAttempts", 2},    {"sticky", true}};
    };
    json::array routes{route("/read/", "safe"), route("/book/", "unsafe")};
    for (const auto& prefix : m_added_prefixes) {
        routes.push_back(route(prefix.c_str(), "safe"));
    }
    json::object configuration{
        {"version", fmt::format("{:x}", ++m_configuration)},
        {"services",
         json::array{json::object{{"name", "orders"}, {"healthPath", "/health"}, {"maxConns", 0}}}},
        {"hosts", json::array{json::object{{"host", "fleet.example"}, {"paths", std::move(routes)}}}}};
    if (!m_accounts.empty()) {
        configuration["tenants"] = m_accounts;
    }
    if (!m_caller_limits.empty()) {
        configuration["limits"] = m_caller_limits;
    }
    m_store.put("op/config", configuration);
}

void gateway_fleet::set_caller_limits(json::object limits) {
    run_on_loop([&] {
        m_caller_limits = std::move(limits);
        publish_configuration();
    });
}

void gateway_fleet::set_accounts(json::array accounts) {
    run_on_loop([&] {
        m_accounts = std::move(accounts);
        publish_configuration();
    });
}

std::vector<soak::arrival> gateway_fleet::arrivals_of(const std::string& request_id) {
    std::vector<soak::arrival> found;
    run_on_loop([&] {
        std::copy_if(m_record.arrivals.begin(), m_record.arrivals.end(), std::back_inserter(found),
                     [&](const soak::arrival& item) { return item.request_id == request_id; });
    });
    return found;
}

void gateway_fleet::add_route(const std::string& prefix) {
    run_on_loop([&] {
        m_added_prefixes.push_back(prefix);
        publish_configuration();
    });
}

std::string gateway_fleet::start_server() {
    std::string id;
    run_on_loop([&] {
        add_server("a1");
        id = m_servers.back()->id();
    });
    return id;
}

void gateway_fleet::add_server(const std::string& domain) {
    auto made =
        std::make_unique<soak::server_stand_in>(m_context, fmt::format("i-{}", m_servers.size()), domain,
                                                m_record, static_cast<std::uint32_t>(m_servers.size()) + 1);
    auto& server = *made;
    const auto crashes = [this](const soak::http_request& request) {
        const bool is_harmless = request[http::field::cookie].ends_with(harmless_object);
        return m_all_requests_crash || (!is_harmless && request.target().starts_with(m_crashing_prefix));
    };
    server.end_on(crashes, m_end_kind, [this, &server, domain] {
        ++m_ended_servers;
        replace_ended_server(server, domain);
    });
    m_store.put("servers/" + server.id(), server.registration());
    m_servers.push_back(std::move(made));
}

void gateway_fleet::replace_ended_server(const soak::server_stand_in& server, const std::string& domain) {
    boost::asio::co_spawn(
        m_context,
        [](gateway_fleet& fleet, std::string ended_id,
           std::string own_domain) -> boost::asio::awaitable<void> {
            co_await soak::sleep_for(restart_delay);
            fleet.m_store.erase("servers/" + ended_id);
            fleet.add_server(own_domain);
        }(*this, server.id(), domain),
        boost::asio::detached);
}

std::string gateway_fleet::settings_for(const gateway& item) const {
    const char* const lacking = std::getenv("CARAWAYWAY_OTHER_LACKS_KEYS");
    if (item.program == CARAWAYWAY_PROGRAM || lacking == nullptr) {
        return item.settings;
    }
    std::ifstream all(item.settings);
    std::string kept;
    for (std::string line; std::getline(all, line);) {
        const auto key = line.substr(0, line.find(' '));
        const bool is_lacking =
            fmt::format(",{},", lacking).find(fmt::format(",{},", key)) != std::string::npos;
        kept += is_lacking ? "" : line + "\n";
    }
    const auto name = item.name + "-other.ini";
    m_folder.write(name, kept);
    return m_folder.path() + "/" + name;
}

void gateway_fleet::start_process(gateway& item) const {
    item.process = std::make_unique<test_support::child_process>(
        std::vector<std::string>{item.program, "gateway", "--settings", settings_for(item)},
        fmt::format("{}/{}-{}.log", m_folder.path(), item.name, ++item.start_count));
}

void gateway_fleet::expect_is_ready(std::size_t index) {
    EXPECT_TRUE(test_support::wait_until([&] { return send(index, "GET", "/read/warm-up").status == 200; }))
        << m_gateways[index]->name << " does not serve";
    // Each gateway must know the others before it can tell them anything.
    for (const auto& other : m_gateways) {
        EXPECT_TRUE(test_support::wait_until([&] {
            return has_logged(index, "event=gateway-registered gateway=" + other->name + " ");
        })) << m_gateways[index]->name
            << " does not know " << other->name;
    }
}

void gateway_fleet::start_gateways() {
    for (const auto& item : m_gateways) {
        start_process(*item);
    }
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
        expect_is_ready(index);
    }
}

void gateway_fleet::start_gateway(std::size_t index, const std::string& program) {
    auto& item = *m_gateways.at(index);
    {
        const std::scoped_lock lock(m_sent_mutex);
        item.program = program;
    }
    start_process(item);
    expect_is_ready(index);
}

std::string gateway_fleet::program_of(std::size_t index) {
    const std::scoped_lock lock(m_sent_mutex);
    return m_gateways.at(index)->program;
}

void gateway_fleet::restart_all_gateways(const std::optional<std::string>& program) {
    for (const auto& item : m_gateways) {
        item->process->send_signal(SIGKILL);
    }
    for (const auto& item : m_gateways) {
        item->process->wait();
        const std::scoped_lock lock(m_sent_mutex);
        item->program = program.value_or(item->program);
    }
    start_gateways();
}

void gateway_fleet::set_store_fault(soak::store_fault fault) {
    run_on_loop([&] { m_store.set_fault(fault); });
}

void gateway_fleet::restore_store(milliseconds age) {
    run_on_loop([&] { m_store.restore_copy(age, rewrite_delay); });
}

void gateway_fleet::set_server_fault(soak::server_fault fault) {
    run_on_loop([&] {
        for (const auto& server : m_servers) {
            server->set_fault(fault);
        }
    });
}

void gateway_fleet::set_link_fault(soak::link_fault fault) {
    m_links->set_fault(fault);
}

void gateway_fleet::set_store_link(soak::store_link link) {
    run_on_loop([&] { m_links->set_store_link(link); });
}

void gateway_fleet::kill_gateway(std::size_t index) {
    auto& process = *m_gateways.at(index)->process;
    process.send_signal(SIGKILL);
    process.wait();
}

void gateway_fleet::begin_stop(std::size_t index) {
    m_gateways.at(index)->process->send_signal(SIGTERM);
}

std::optional<int> gateway_fleet::wait_for_end(std::size_t index) {
    return m_gateways.at(index)->process->wait();
}

std::optional<int> gateway_fleet::stop_gateway(std::size_t index) {
    begin_stop(index);
    return wait_for_end(index);
}

void gateway_fleet::pause_gateway(std::size_t index) {
    m_gateways.at(index)->process->send_signal(SIGSTOP);
}

void gateway_fleet::resume_gateway(std::size_t index) {
    m_gateways.at(index)->process->send_signal(SIGCONT);
}

void gateway_fleet::name_request_limit(const std::vector<std::string>& servers,
                                       std::optional<double> requests_per_second) {
    run_on_loop([&] {
        for (const auto& server : m_servers) {
            if (std::find(servers.begin(), servers.end(), server->id()) != servers.end()) {
                server->name_request_limit(requests_per_second);
            }
        }
    });
}

soak::server_stand_in& gateway_fleet::server_of(const std::string& id) {
    return **std::find_if(m_servers.begin(), m_servers.end(),
                          [&id](const auto& server) { return server->id() == id; });
}

void gateway_fleet::ask_for_rest(const std::string& server, std::optional<milliseconds> rest) {
    run_on_loop([&] { server_of(server).ask_for_rest(rest); });
}

void gateway_fleet::say_leaving(const std::string& server) {
    run_on_loop([&] { server_of(server).say_leaving(); });
}

void gateway_fleet::deregister_servers() {
    run_on_loop([&] {
        for (const auto& server : m_servers) {
            m_store.erase("servers/" + server->id());
        }
    });
}

void gateway_fleet::write_to_store(const std::string& key, const std::string& value) {
    run_on_loop([&] { m_store.put_bytes(key, value); });
}

std::vector<std::string> gateway_fleet::server_ids() {
    std::vector<std::string> ids;
    run_on_loop([&] {
        std::transform(m_servers.begin(), m_servers.end(), std::back_inserter(ids),
                       [](const auto& server) { return server->id(); });
    });
    return ids;
}

std::set<std::string> gateway_fleet::logged_events(std::size_t index, std::string_view level) const {
    constexpr std::string_view name = "event=";
    std::set<std::string> events;
    for (const auto& line : m_gateways.at(index)->process->lines_with(fmt::format("level={} ", level))) {
        const auto begin = line.find(name);
        if (begin != std::string::npos) {
            const auto from = begin + name.size();
            events.insert(line.substr(from, line.find(' ', from) - from));
        }
    }
    return events;
}

bool gateway_fleet::has_logged(std::size_t index, std::string_view text) const {
    return !m_gateways.at(index)->process->lines_with(text).empty();
}

void gateway_fleet::wait_until_gateways_are_forgotten() const {
    for (const auto& item : m_gateways) {
        for (const auto& other : m_gateways) {
            EXPECT_TRUE(item == other || test_support::wait_until([&] {
                            return !item->process
                                        ->lines_with("event=gateway-gone gateway=" + other->name + " ")
                                        .empty();
                        }))
                << item->name << " still knows " << other->name;
        }
    }
}

std::size_t gateway_fleet::peak_memory_bytes(std::size_t index) const {
    constexpr std::string_view name = "VmHWM:";
    std::ifstream status(fmt::format("/proc/{}/status", m_gateways.at(index)->process->pid()));
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoull(line.substr(name.size())) << 10U; // given in KiB
        }
    }
    return 0;
}

std::size_t gateway_fleet::open_descriptors(std::size_t index) const {
    const std::filesystem::directory_iterator files(
        fmt::format("/proc/{}/fd", m_gateways.at(index)->process->pid()));
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

bool gateway_fleet::is_running(std::size_t index) const {
    return ::kill(m_gateways.at(index)->process->pid(), 0) == 0 && peak_memory_bytes(index) > 0;
}

std::size_t gateway_fleet::ended_servers() {
    std::size_t count = 0;
    run_on_loop([&] { count = m_ended_servers; });
    return count;
}

std::size_t gateway_fleet::most_executions_of_bookings() {
    std::size_t most = 0;
    run_on_loop([&] {
        const std::scoped_lock lock(m_sent_mutex);
        for (const auto& [request_id, status] : m_bookings) {
            most = std::max(most, m_record.executions[request_id].size());
        }
    });
    return most;
}

std::size_t gateway_fleet::executed_of(const std::vector<std::string>& request_ids) {
    std::size_t count = 0;
    run_on_loop([&] {
        count = static_cast<std::size_t>(
            std::count_if(request_ids.begin(), request_ids.end(),
                          [this](const auto& id) { return m_record.executions.contains(id); }));
    });
    return count;
}

std::size_t gateway_fleet::executed_refused_bookings() {
    std::size_t count = 0;
    run_on_loop([&] {
        const std::scoped_lock lock(m_sent_mutex);
        for (const auto& [request_id, status] : m_bookings) {
            const bool says_not_executed = status == 408 || status == 421 || status == 429 || status == 503;
            count += says_not_executed && !m_record.executions[request_id].empty() ? 1 : 0;
        }
    });
    return count;
}

std::size_t gateway_fleet::repeated_refusals() {
    std::size_t count = 0;
    run_on_loop([&] {
        for (const auto& server : m_servers) {
            count += static_cast<std::size_t>(server->repeated_refusals());
        }
    });
    return count;
}

std::size_t gateway_fleet::most_arrivals_within_rest() {
    std::size_t most = 0;
    run_on_loop([&] {
        const std::scoped_lock lock(m_sent_mutex);
        most = soak::most_arrivals_within_rest(m_record.arrivals, m_gateway_of_request);
    });
    return most;
}

soak::retry_limit_input gateway_fleet::traffic() {
    soak::retry_limit_input result;
    run_on_loop([&] { result.arrivals = m_record.arrivals; });
    const std::scoped_lock lock(m_sent_mutex);
    result.sent = m_sent;
    return result;
}

std::size_t gateway_fleet::store_keys(const std::string& prefix) {
    std::size_t count = 0;
    run_on_loop([&] { count = m_store.count(prefix); });
    return count;
}

answer gateway_fleet::send(std::size_t index, const std::string& method, const std::string& path,
                           const std::string& object) {
    return send_to(m_gateways.at(index)->ports.callers(), index, method, path, object);
}

answer gateway_fleet::send_to_relay_address(std::size_t index, const std::string& path) {
    return send_to(m_gateways.at(index)->ports.relays(), index, "GET", path, usual_object);
}

soak::http_request gateway_fleet::make_request(std::size_t gateway_index, const std::string& method,
                                               const std::string& path, const std::string& object) {
    const std::scoped_lock lock(m_sent_mutex);
    m_sent.push_back(soak::clock::now());
    const auto request_id = fmt::format("{:016x}", m_sent.size());
    m_gateway_of_request[request_id] = gateway_index;
    soak::http_request request{http::string_to_verb(method), path, 11};
    request.set(http::field::host, "fleet.example");
    request.set(http::field::connection, "close");
    request.set(http::field::cookie, "Affinity-Key=" + object);
    request.set("Request-Id", request_id);
    request.set("Deadline-Ms", std::to_string(route_timeout_ms));
    request.prepare_payload();
    return request;
}

void gateway_fleet::send_and_leave(std::size_t index, const std::string& method, const std::string& path) {
    const auto request = make_request(index, method, path, usual_object);
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    stream.connect(stand_ins::parse_address(m_gateways.at(index)->ports.callers()).value());
    http::write(stream, request);
}

answer gateway_fleet::send_to(const std::string& address, std::size_t gateway_index,
                              const std::string& method, const std::string& path, const std::string& object) {
    return send_to(address, make_request(gateway_index, method, path, object));
}

answer gateway_fleet::send_request(std::size_t index, const soak::http_request& request) {
    return send_to(m_gateways.at(index)->ports.callers(), request);
}

answer gateway_fleet::send_to(const std::string& address, const soak::http_request& request) {
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    boost::system::error_code error;
    stream.connect(stand_ins::parse_address(address).value(), error);
    const bool was_connected = !error;
    if (was_connected) {
        http::write(stream, request, error);
    }
    http::response<http::string_body> response;
    boost::beast::flat_buffer buffer;
    if (!error) {
        http::read(stream, buffer, response, error);
    }
    const auto result =
        error ? answer{0, false, was_connected}
              : answer{response.result_int(), response.count(http::field::retry_after) > 0, was_connected};
    record_status(request, result.status);
    return result;
}

void gateway_fleet::record_status(const soak::http_request& request, unsigned status) {
    if (request.method() == http::verb::post) {
        const std::scoped_lock lock(m_sent_mutex);
        m_bookings[std::string(request["Request-Id"])] = status;
    }
}

} // namespace carawayway::gateway_processes
