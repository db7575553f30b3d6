// Sends requests with the HTTP client of the command-line tool and records each request and answer.
#include "Tests/support/caller.hpp"

#include "carawayway/base/hash.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

#include <atomic>
#include <random>

namespace carawayway::test_support {

namespace {

constexpr int timeout_ms = 500;
constexpr unsigned resend_interval = 3; // on average, one request out of this many is sent again

std::atomic<std::uint64_t> last_caller{0};

std::string text_member(const boost::json::object& object, const char* name) {
    const auto* value = object.if_contains(name);
    return value == nullptr || !value->is_string() ? std::string{} : std::string(value->get_string().c_str());
}

boost::json::object parse_object(const std::string& text) {
    boost::json::error_code error;
    const auto value = boost::json::parse(text, error);
    return error || !value.is_object() ? boost::json::object{} : value.get_object();
}

base::execution_state execution_of(const std::string& name) {
    if (name == "executed") {
        return base::execution_state::executed;
    }
    return name == "not-executed" ? base::execution_state::not_executed : base::execution_state::unknown;
}

// Hash of a complete answer of a backend stand-in. Returns 0, which matches no recorded answer, for any other
// body.
body_hash hash_of_body(const std::string& body) {
    const auto object = parse_object(body);
    const auto* execution = object.if_contains("execution");
    if (execution == nullptr || !execution->is_number()) {
        return 0;
    }
    return answer_hash(text_member(object, "server"), text_member(object, "request_id"),
                       text_member(object, "body_hash"), execution->to_number<std::uint32_t>());
}

} // namespace

body_hash answer_hash(const std::string& server, const std::string& id, const std::string& content_hash,
                      std::uint32_t execution) {
    return base::hash_bytes(fmt::format("{} {} {} {}", server, id, content_hash, execution));
}

caller::caller(deployment& target, std::string source_address)
    : m_deployment(target), m_source(std::move(source_address)), m_last_number(++last_caller << 32U) {}

std::string caller::fresh_id(const std::string& entry, const std::string& service) {
    cli::http_call call;
    call.address = m_deployment.caller_address(entry);
    // The lookup is sent without m_source: the home region is then unknown, so the entry returns a prefix of
    // its own in whichever region it runs.
    call.target = "/lookup?service=" + service;
    call.timeout = std::chrono::milliseconds(timeout_ms);
    cli::call_failure failure{};
    std::string reason;
    const auto reply = cli::perform(call, failure, reason);
    const auto prefix =
        reply && reply->status == 200 ? text_member(parse_object(reply->body), "request_id_prefix") : "";
    return prefix.empty() ? prefix : prefix + std::to_string(++m_last_number);
}

outcome caller::send(const std::string& entry, const request& content) {
    cli::http_call call;
    call.address = m_deployment.caller_address(entry);
    call.source_address = m_source;
    call.method = "POST";
    call.target = "/service/" + content.service + "/orders";
    call.headers = {{"Idempotency-Key", content.id}, {"X-Request-Timeout-Ms", std::to_string(timeout_ms)}};
    call.body = content.body;
    call.timeout = 3 * std::chrono::milliseconds(timeout_ms);
    const auto hash = base::hash_bytes(content.body);
    m_deployment.recorder().add(caller_sent{content.id, hash, content.semantics});
    outcome result;
    std::string reason;
    const auto reply = cli::perform(call, result.failure, reason);
    if (reply) {
        result.execution = execution_of(reply->header("X-Execution"));
        result.kind = text_member(parse_object(reply->body), "kind");
        result.body = reply->body;
        m_deployment.recorder().add(
            caller_answered{content.id, hash, result.execution, hash_of_body(reply->body)});
    }
    return result;
}

caller_load::caller_load(deployment& target, unsigned callers, std::uint64_t seed) : m_deployment(target) {
    const auto& entries = target.entries();
    for (unsigned number = 0; number < callers; ++number) {
        const auto& region = number % 2 == 0 ? entries.front().region : entries.back().region;
        m_threads.emplace_back([this, number, seed, region] { run(seed + number, region); });
    }
}

void caller_load::stop() {
    m_stopped = true;
    for (auto& thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void caller_load::send_and_record(caller& client, const std::string& entry, const request& content) {
    auto result = client.send(entry, content);
    const std::lock_guard lock(m_mutex);
    ++m_counts[{entry, result.execution}];
    m_sent.push_back({entry, content, std::move(result)});
}

void caller_load::run(std::uint64_t seed, const std::string& region) {
    std::mt19937_64 random(seed);
    caller client(m_deployment, m_deployment.source_address_in(region));
    std::vector<std::string> local_entries;
    std::vector<std::string> all_entries;
    for (const auto& entry : m_deployment.entries()) {
        all_entries.push_back(entry.name);
        if (entry.region == region) {
            local_entries.push_back(entry.name);
        }
    }
    while (!m_stopped) {
        const auto& service = m_deployment.services()[random() % m_deployment.services().size()];
        const auto& entry = local_entries[random() % local_entries.size()];
        request content{service.name, client.fresh_id(entry, service.name), "", service.semantics};
        if (content.id.empty()) {
            continue;
        }
        content.body = fmt::format("order {}", random());
        send_and_record(client, entry, content);
        if (random() % resend_interval == 0) {
            if (service.semantics == config::request_semantics::idempotent) {
                // The history counts each send of an idempotent request as a request of its own.
                content.id += "-again";
            }
            send_and_record(client, all_entries[random() % all_entries.size()], content);
        }
    }
}

std::vector<sent_request> caller_load::sent() const {
    const std::lock_guard lock(m_mutex);
    return m_sent;
}

std::size_t caller_load::count(const std::string& entry, base::execution_state execution) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_counts.find({entry, execution});
    return found == m_counts.end() ? 0 : found->second;
}

bool caller_load::wait_for_executions(const std::string& entry, std::size_t more) const {
    const auto wanted = count(entry, base::execution_state::executed) + more;
    return wait_until([&] { return count(entry, base::execution_state::executed) >= wanted; });
}

} // namespace carawayway::test_support
