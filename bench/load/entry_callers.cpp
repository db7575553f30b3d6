// Implements the caller protocol (section 4 of docs/design.md) over keep-alive connections.
#include "bench/load/entry_callers.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace carawayway::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
// Extra time to receive the answer to a request that the entry instance ended at its deadline.
constexpr auto answer_grace = std::chrono::milliseconds(500);
constexpr std::uint32_t callers_per_subnet = 250;

std::string text_of(const json::object& object, const char* name) {
    const auto* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string().c_str()) : std::string();
}

tcp::endpoint to_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

// Returns the source address of a caller, inside the client block of its region.
asio::ip::address address_in(const std::string& block, std::size_t caller) {
    const auto first = asio::ip::make_address_v4(block.substr(0, block.find('/'))).to_uint();
    const auto subnet = static_cast<std::uint32_t>(caller / callers_per_subnet);
    const auto host = static_cast<std::uint32_t>(caller % callers_per_subnet);
    return asio::ip::address_v4(first + subnet * 256 + host + 1);
}

} // namespace

entry_callers::entry_callers(asio::io_context& context, const deployment& deployed, caller_delays delays,
                             resend_limits limits, std::string run_name)
    : m_context(context), m_deployed(deployed), m_delays(delays), m_limits(limits),
      m_run_name(std::move(run_name)), m_pool(context) {
    for (const auto& region : deployed.policy().regions) {
        const auto& blocks = deployed.policy().client_blocks;
        const auto block = std::find_if(blocks.begin(), blocks.end(),
                                        [&region](const auto& item) { return item.region == region.name; });
        if (block == blocks.end()) {
            throw std::runtime_error("no client block of region " + region.name);
        }
        m_block_prefixes.push_back(block->prefix);
    }
}

entry_callers::caller& entry_callers::caller_of(const arrival& request) {
    auto& found = m_callers[{request.region, request.caller}];
    if (found.region.empty()) {
        found.region = m_deployed.policy().regions[request.region].name;
        found.source = address_in(m_block_prefixes[request.region], request.caller);
    }
    return found;
}

asio::awaitable<void> entry_callers::pause(base::duration length) {
    asio::steady_timer timer(m_context, length);
    co_await timer.async_wait(use_tuple);
}

std::string entry_callers::fresh_id(const look_up& known) {
    return fmt::format("{}{}-{}", known.prefix, m_run_name, ++m_last_nonce);
}

// Performs an HTTP exchange and adds the one-way delay to the entry instance in each direction.
asio::awaitable<exchange_result> entry_callers::exchange_with_delay(caller& origin, known_entry target,
                                                                    http_request request,
                                                                    base::time_point deadline) {
    const auto delay = target.region == origin.region ? m_delays.own_region : m_delays.other_region;
    if (delay > base::duration::zero()) {
        co_await pause(delay);
    }
    exchange_result result =
        co_await m_pool.exchange(target.address, origin.source, std::move(request), deadline);
    if (delay > base::duration::zero()) {
        co_await pause(delay);
    }
    co_return result;
}

asio::awaitable<bool> entry_callers::look_up_at(caller& origin, std::size_t service, known_entry target,
                                                base::time_point deadline) {
    http_request request(http::verb::get, "/lookup?service=" + m_deployed.policy().services[service].name,
                         11);
    request.set(http::field::host, "entry");
    exchange_result result = co_await exchange_with_delay(origin, target, std::move(request), deadline);
    if (!result.response || result.response->result_int() != 200) {
        co_return false;
    }
    const json::value parsed = json::parse(result.response->body());
    const json::object& document = parsed.as_object();
    const auto now = base::monotonic_now();
    look_up answer;
    for (const auto& item : document.at("entries").as_array()) {
        const auto& entry = item.as_object();
        answer.entries.push_back({to_endpoint(text_of(entry, "address")), text_of(entry, "region")});
        if (answer.entries.back().address == target.address) {
            answer.used = answer.entries.size() - 1;
        }
    }
    const bool listed = !answer.entries.empty() && answer.entries[answer.used].address == target.address;
    answer.prefix = listed ? text_of(document, "request_id_prefix") : std::string();
    answer.valid_until = now + std::chrono::milliseconds(document.at("ttl_ms").to_number<std::int64_t>());
    answer.accepted_until =
        now + std::chrono::milliseconds(document.at("accept_ms").to_number<std::int64_t>());
    origin.look_ups[service] = std::move(answer);
    co_return true;
}

// Renews an expired look-up answer at the entry instance in use, or at any other if that fails. Then repeats
// the look-up at the preferred entry instance, because a request ID prefix is valid only at its issuer.
asio::awaitable<bool> entry_callers::refresh_look_up(caller& origin, std::size_t service,
                                                     base::time_point deadline) {
    const look_up known = origin.look_ups[service];
    const auto now = base::monotonic_now();
    if (!known.prefix.empty() && now < known.valid_until && now < known.accepted_until) {
        co_return true;
    }
    std::vector<known_entry> candidates(known.entries);
    if (!candidates.empty()) {
        std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(known.used),
                    candidates.end());
    }
    const auto& all = m_deployed.entries();
    const std::size_t first = std::hash<std::string>{}(origin.source.to_string()) % all.size();
    for (std::size_t step = 0; step < all.size(); ++step) {
        const auto& entry = all[(first + step) % all.size()];
        candidates.push_back({entry.callers, entry.region});
    }
    for (const auto& candidate : candidates) {
        const bool answered = co_await look_up_at(origin, service, candidate, deadline);
        if (!answered) {
            continue;
        }
        const known_entry preferred = origin.look_ups[service].entries.front();
        if (preferred.address != candidate.address) {
            const bool own_prefix = co_await look_up_at(origin, service, preferred, deadline);
            if (!own_prefix && origin.look_ups[service].prefix.empty()) {
                continue;
            }
        }
        co_return true;
    }
    co_return false;
}

asio::awaitable<bool> entry_callers::next_entry(caller& origin, std::size_t service,
                                                base::time_point deadline) {
    const look_up known = origin.look_ups[service];
    for (std::size_t step = 1; step < known.entries.size(); ++step) {
        const known_entry candidate = known.entries[(known.used + step) % known.entries.size()];
        const bool answered = co_await look_up_at(origin, service, candidate, deadline);
        if (answered && !origin.look_ups[service].prefix.empty()) {
            co_return true;
        }
    }
    co_return false;
}

http_request entry_callers::make_request(const config::service_policy& service, const request_progress& state,
                                         base::duration remaining) const {
    const bool idempotent = service.semantics == config::request_semantics::idempotent;
    http_request request(idempotent ? http::verb::get : http::verb::post,
                         "/service/" + service.name + "/load", 11);
    request.set(http::field::host, "entry");
    request.set("X-Request-Timeout-Ms",
                std::to_string(std::max<std::int64_t>(1, base::to_milliseconds(remaining))));
    if (!idempotent) {
        request.set("Idempotency-Key", state.id);
        request.body() = state.id; // different content for each request
    }
    request.prepare_payload();
    return request;
}

failed_attempt entry_callers::read_problem(caller& origin, std::size_t service, const http_response& response,
                                           std::string& reason) const {
    failed_attempt failed;
    boost::system::error_code error;
    const json::value parsed = json::parse(response.body(), error);
    if (error || !parsed.is_object()) {
        reason = "status " + std::to_string(response.result_int());
        return failed;
    }
    const auto& document = parsed.as_object();
    reason = text_of(document, "kind");
    failed.kind = base::error_kind_from_name(reason);
    const std::string execution = text_of(document, "execution");
    if (execution == "not-executed") {
        failed.execution = base::execution_state::not_executed;
    }
    if (failed.kind) {
        failed.advice = base::properties_of(*failed.kind).advice;
    }
    if (const auto* wait = document.if_contains("retry_after_ms")) {
        failed.retry_after = std::chrono::milliseconds(wait->to_number<std::int64_t>());
    }
    if (const std::string prefix = text_of(document, "request_id_prefix"); !prefix.empty()) {
        origin.look_ups[service].prefix = prefix;
    }
    return failed;
}

// Sends the request once. Returns an empty string if it was answered, otherwise the reason, with details in
// `state.failed`.
asio::awaitable<std::string> entry_callers::attempt(caller& origin, std::size_t service,
                                                    request_progress& state, base::time_point deadline) {
    ++state.sends;
    const look_up& known = origin.look_ups[service];
    const known_entry target = known.entries[known.used];
    const auto delay = target.region == origin.region ? m_delays.own_region : m_delays.other_region;
    const base::duration remaining = deadline - base::monotonic_now() - 2 * delay;
    http_request request = make_request(m_deployed.policy().services[service], state, remaining);
    exchange_result result =
        co_await exchange_with_delay(origin, target, std::move(request), deadline + answer_grace);
    state.failed = {};
    std::string reason;
    if (result.end == exchange_end::answered) {
        if ((*result.response)["X-Execution"] == "executed" && result.response->result_int() < 400) {
            co_return reason;
        }
        state.failed = read_problem(origin, service, *result.response, reason);
        co_return reason;
    }
    reason = result.end == exchange_end::not_sent ? "connection failed" : "connection lost";
    if (result.end == exchange_end::not_sent) {
        state.failed.execution = base::execution_state::not_executed;
    }
    co_return reason;
}

asio::awaitable<request_report> entry_callers::send(arrival request, base::time_point planned,
                                                    base::time_point deadline) {
    caller& origin = caller_of(request);
    const std::size_t service = request.service;
    const auto semantics = m_deployed.policy().services[service].semantics;
    request_report report;
    report.reason = "look-up failed";
    report.end = request_end::refused;
    request_progress state;
    bool usable = co_await refresh_look_up(origin, service, deadline);
    if (usable) {
        state.id = fresh_id(origin.look_ups[service]);
    }
    while (usable) {
        report.reason = co_await attempt(origin, service, state, deadline);
        if (report.reason.empty()) {
            report.end = request_end::in_time;
            break;
        }
        const bool refused = state.failed.execution == base::execution_state::not_executed;
        report.end = refused ? request_end::refused : request_end::unknown;
        const auto decision =
            decide_resend(state.failed, semantics, state.sends, deadline - base::monotonic_now(), m_limits);
        if (decision.action == resend_action::give_up) {
            break;
        }
        report.last_refusal = report.reason;
        co_await pause(decision.wait);
        if (decision.action == resend_action::next_entry) {
            usable = co_await next_entry(origin, service, deadline);
        }
        if (decision.action != resend_action::same_id && usable) {
            state.id = fresh_id(origin.look_ups[service]);
        }
    }
    report.finished = base::monotonic_now();
    report.latency = report.finished - planned;
    report.sends = state.sends;
    if (report.end == request_end::in_time && report.finished > deadline) {
        report.end = request_end::late;
    }
    co_return report;
}

} // namespace carawayway::bench
