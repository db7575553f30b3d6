// Writes the settings, starts the child processes and calls their control interfaces.
#include "bench/load/deployment.hpp"

#include "bench/load/http_pool.hpp"
#include "carawayway/config/policy_reader.hpp"
#include "carawayway/config/policy_writer.hpp"
#include "carawayway/config/settings_reader.hpp"
#include "carawayway/json/base64.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace carawayway::bench {

namespace json = boost::json;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint16_t peer_offset = 100;
constexpr std::uint16_t operator_offset = 200;
constexpr std::uint16_t route_offset = 300;
constexpr std::uint16_t platform_offset = 900;
constexpr std::uint16_t platform_control_offset = 901;
constexpr std::uint16_t backend_control_offset = 902;
constexpr std::uint16_t link_control_offset = 903;
constexpr std::uint16_t server_offset = 950; // on the loopback addresses of the servers
constexpr auto start_timeout = std::chrono::seconds(5);
constexpr auto call_timeout = std::chrono::seconds(1);
constexpr auto poll_interval = std::chrono::milliseconds(50);

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream file(path);
    file << text;
    if (!file.flush()) {
        throw std::runtime_error("cannot write " + path);
    }
}

std::string to_text(const tcp::endpoint& endpoint) {
    return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

void wait_until_answering(const tcp::endpoint& target, const std::string& method, const std::string& path) {
    const auto give_up = base::monotonic_now() + start_timeout;
    while (!call_once(target, method, path, "{}", call_timeout)) {
        if (base::monotonic_now() > give_up) {
            throw std::runtime_error("no answer from " + to_text(target));
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

// Sums the samples of a gauge in the Prometheus text format.
double sum_samples(const std::string& text, const std::string& family) {
    double sum = 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(family + "{")) {
            sum += std::strtod(line.c_str() + line.rfind(' ') + 1, nullptr);
        }
    }
    return sum;
}

} // namespace

deployment::deployment(deployment_options options) : m_options(std::move(options)) {
    std::string pattern = (std::filesystem::temp_directory_path() / "carawayway-load-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    m_folder = pattern;
    read_policy();
    read_entries();
    write_files();
    start_stand_ins();
    start_entries();
}

deployment::~deployment() {
    for (auto& [name, process] : m_processes) {
        process.send_signal(SIGTERM);
    }
    m_processes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

tcp::endpoint deployment::port(std::uint16_t offset) const {
    return {boost::asio::ip::address_v4::loopback(),
            static_cast<std::uint16_t>(m_options.first_port + offset)};
}

void deployment::read_policy() {
    std::vector<config::diagnostic> diagnostics;
    auto content =
        config::read_valid_policy(read_file(m_options.policy_file), m_options.policy_file, diagnostics);
    if (!content) {
        throw std::runtime_error(config::to_string(diagnostics.front()));
    }
    m_policy = std::move(*content);
    for (auto& server : m_policy.servers) {
        const auto host = server.address.substr(0, server.address.rfind(':'));
        server.address = fmt::format("{}:{}", host, m_options.first_port + server_offset);
    }
    if (m_options.lookup_lifetime_ms > 0) {
        m_policy.lookup_lifetime = std::chrono::milliseconds(m_options.lookup_lifetime_ms);
    }
}

void deployment::read_entries() {
    std::vector<std::string> files;
    const auto folder = std::filesystem::path(m_options.policy_file).parent_path();
    for (const auto& item : std::filesystem::directory_iterator(folder)) {
        const std::string name = item.path().filename().string();
        if (name.starts_with("entry-") && name.ends_with(".ini")) {
            files.push_back(item.path().string());
        }
    }
    std::sort(files.begin(), files.end());
    for (const auto& path : files) {
        std::vector<config::diagnostic> diagnostics;
        const auto settings = config::read_settings(read_file(path), path, diagnostics);
        if (!settings) {
            throw std::runtime_error(config::to_string(diagnostics.front()));
        }
        const auto index = static_cast<std::uint16_t>(m_entries.size());
        m_entries.push_back({settings->name, settings->failure_domain, settings->region, port(index),
                             port(peer_offset + index), port(operator_offset + index)});
    }
    if (m_entries.empty()) {
        throw std::runtime_error("no settings entry-*.ini beside " + m_options.policy_file);
    }
}

std::uint16_t deployment::route_port(std::size_t from, std::size_t to) const {
    return static_cast<std::uint16_t>(m_options.first_port + route_offset + from * m_entries.size() + to);
}

double deployment::delay_between(const entry_endpoints& from, const entry_endpoints& to) const {
    if (from.failure_domain == to.failure_domain) {
        return 0;
    }
    return from.region == to.region ? m_options.domain_delay_ms : m_options.region_delay_ms;
}

std::string deployment::settings_text(std::size_t own) const {
    const auto& self = m_entries[own];
    std::string text =
        fmt::format("[entry]\nname = {}\nfailure_domain = {}\nregion = {}\ncaller_address = {}\n"
                    "peer_address = {}\noperator_address = {}\n"
                    "deployment_key_file = deployment.key\n"
                    "operator_token_file = operator.token\n\n[platform]\naddresses = {}\n",
                    self.name, self.failure_domain, self.region, to_text(self.callers), to_text(self.peers),
                    to_text(self.operators), to_text(port(platform_offset)));
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        if (index == own) {
            continue;
        }
        const auto& peer = m_entries[index];
        auto address = peer.peers;
        if (m_options.delay_entry_links && delay_between(self, peer) > 0) {
            address.port(route_port(own, index));
        }
        text += fmt::format(
            "\n[peer {}]\nfailure_domain = {}\nregion = {}\npeer_address = {}\ncaller_address = {}\n",
            peer.name, peer.failure_domain, peer.region, to_text(address), to_text(peer.callers));
    }
    return text;
}

std::string deployment::routes_text() const {
    std::string text;
    for (std::size_t from = 0; from < m_entries.size(); ++from) {
        for (std::size_t to = 0; to < m_entries.size(); ++to) {
            const double delay = delay_between(m_entries[from], m_entries[to]);
            if (delay > 0) {
                text += fmt::format("{}-{} 127.0.0.1:{} {} {}\n", m_entries[from].name, m_entries[to].name,
                                    route_port(from, to), to_text(m_entries[to].peers), delay);
            }
        }
    }
    return text;
}

void deployment::write_files() const {
    write_file(file("deployment.key"), "key of the load tool, not secret\n");
    write_file(file("operator.token"), "token of the load tool, not secret\n");
    std::string servers;
    for (const auto& server : m_policy.servers) {
        servers += fmt::format("{} {} {} {} {}\n", server.name, server.service, server.address, server.slots,
                               server.connections);
    }
    write_file(file("servers"), servers);
    write_file(file("routes"), routes_text());
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        write_file(file(m_entries[index].name + ".ini"), settings_text(index));
    }
}

void deployment::start_stand_ins() {
    const auto start = [this](const std::string& name, const std::vector<std::string>& arguments) {
        m_processes.emplace(name, child_process(arguments, file(name + ".log")));
    };
    const std::string stand_ins = m_options.program_folder + "/stand_ins/";
    start("platform", {stand_ins + "platform/platform_stand_in", "--listen=" + to_text(port(platform_offset)),
                       "--control=" + to_text(port(platform_control_offset))});
    start("backend", {stand_ins + "backend/backend_stand_in", "--servers_file=" + file("servers"),
                      fmt::format("--service_time_ms={}", m_options.service_time_ms),
                      "--service_time_distribution=" + m_options.service_time_distribution,
                      "--control=" + to_text(port(backend_control_offset))});
    start("link", {stand_ins + "link/link_stand_in", "--routes_file=" + file("routes"),
                   "--control=" + to_text(port(link_control_offset))});
    for (const auto offset : {platform_control_offset, backend_control_offset, link_control_offset}) {
        wait_until_answering(port(offset), "POST", "/control");
    }
    store("/carawayway/policy", config::to_ini(m_policy));
}

void deployment::start_entries() {
    for (const auto& entry : m_entries) {
        const std::vector<std::string> arguments{m_options.program_folder + "/carawayway", "entry",
                                                 "--settings=" + file(entry.name + ".ini")};
        m_processes.emplace(entry.name, child_process(arguments, file(entry.name + ".log")));
    }
    for (const auto& entry : m_entries) {
        wait_until_answering(entry.callers, "GET", "/health");
    }
}

void deployment::store(const std::string& key, const std::string& value) const {
    const json::object message{{"key", carawayway::json::base64_encode(key)},
                               {"value", carawayway::json::base64_encode(value)}};
    const auto response =
        call_once(port(platform_offset), "POST", "/v3/kv/put", json::serialize(message), call_timeout);
    if (!response || response->result_int() != 200) {
        throw std::runtime_error("the platform stand-in did not store " + key);
    }
}

void deployment::announce_leaving(const std::string& server) const {
    const auto* found = m_policy.find_server(server);
    const json::object record{{"service", found->service}, {"address", found->address}, {"state", "leaving"}};
    store("/instances/" + server, json::serialize(record));
}

json::object deployment::server_statistics(const std::string& server) const {
    const auto response =
        call_once(port(backend_control_offset), "POST", "/control", R"({"stats":true})", call_timeout);
    if (!response) {
        return {};
    }
    return json::parse(response->body()).as_object().at("servers").as_object().at(server).as_object();
}

std::uint32_t deployment::usable_slots() const {
    double sum = 0;
    for (const auto& entry : m_entries) {
        if (const auto response = call_once(entry.operators, "GET", "/metrics", "", call_timeout)) {
            sum += sum_samples(response->body(), "carawayway_usable_slots");
        }
    }
    return static_cast<std::uint32_t>(sum);
}

bool deployment::wait_for_capacity(base::duration timeout) const {
    std::uint32_t wanted = 0;
    for (const auto& server : m_policy.servers) {
        wanted += server.slots;
    }
    const auto give_up = base::monotonic_now() + timeout;
    while (usable_slots() < wanted) {
        if (base::monotonic_now() > give_up) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::size_t deployment::delayed_links() const {
    const auto response =
        call_once(port(link_control_offset), "POST", "/control", R"({"stats":true})", call_timeout);
    std::size_t count = 0;
    if (response) {
        const auto routes = json::parse(response->body()).as_object().at("routes").as_object();
        for (const auto& [name, route] : routes) {
            count += route.as_object().at("connections").to_number<std::size_t>();
        }
    }
    return count;
}

} // namespace carawayway::bench
