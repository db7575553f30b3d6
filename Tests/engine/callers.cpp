// Look-ups, request IDs and resends of the simulated callers, and the check of response times.
#include "Tests/engine/callers.hpp"

#include "carawayway/base/hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace carawayway::engine_test {

namespace {

using base::execution_state;
using std::chrono::milliseconds;

constexpr auto minimum_resend_delay = milliseconds(100);
constexpr auto caller_grace = milliseconds(500); // how long a caller waits after its timeout
// Covers a round trip to the caller and the tick interval of the engine.
constexpr auto response_slack = milliseconds(25);

} // namespace

execution_state call_record::outcome() const {
    const auto* last = response();
    return last == nullptr ? execution_state::unknown : last->execution;
}

const engine::service_response* call_record::response() const {
    return submissions.empty() ? nullptr : submissions.back().response.get();
}

const call_record& callers::call(call_plan plan) {
    const auto number = ++m_last_nonce;
    auto& record = m_calls.emplace_back();
    record.plan = std::move(plan);
    auto& request = record.request;
    request.service = record.plan.service;
    request.client_address = fmt::format("10.{}.{}.{}", record.plan.home == "north" ? 1 : 2,
                                         m_world.choose(256), m_world.choose(256));
    request.method = "POST";
    request.target = "/";
    request.body = record.plan.body.empty() ? fmt::format("content {}", number) : record.plan.body;
    request.timeout = record.plan.timeout;
    record.entries = entries_for(record.plan, request.client_address);
    submit(record, true);
    return record;
}

const call_record& callers::resend(const call_record& first, const std::string& entry) {
    auto& record = m_calls.emplace_back(first);
    record.plan.resends = 0;
    record.entries = {entry};
    record.submissions.clear();
    submit(record, false);
    return record;
}

void callers::load(const call_plan& plan, std::uint32_t per_second, base::duration time) {
    const base::duration interval = std::chrono::nanoseconds(std::chrono::seconds(1)) / per_second;
    for (base::duration at{}; at < time; at += interval) {
        m_world.events().after(at, [this, plan] { call(plan); });
    }
}

std::vector<std::string> callers::entries_for(const call_plan& plan, const std::string& client) {
    std::vector<std::string> entries;
    if (!plan.entry.empty()) {
        entries.push_back(plan.entry);
    }
    // Callers know different entry instances: each call looks up through the next one.
    std::vector<std::string> known(entry_names.begin(), entry_names.end());
    std::rotate(known.begin(),
                known.begin() +
                    static_cast<std::ptrdiff_t>(m_lookups[plan.service + plan.home]++ % known.size()),
                known.end());
    for (const auto& name : known) {
        if (!m_world.running(name)) {
            continue;
        }
        const auto response = m_world.lookup(name, plan.service, client);
        for (const auto& item : response.entries) {
            entries.push_back(item.name);
        }
        if (!response.error) {
            break;
        }
    }
    for (const auto& name : entry_names) {
        entries.push_back(name);
    }
    std::vector<std::string> distinct;
    for (const auto& name : entries) {
        if (std::find(distinct.begin(), distinct.end(), name) == distinct.end()) {
            distinct.push_back(name);
        }
    }
    return distinct;
}

std::optional<std::string> callers::current_prefix(const std::string& entry, const call_plan& plan) {
    if (m_world.running(entry)) {
        // No client block contains this address, so every entry instance issues a prefix of its own.
        const auto response = m_world.lookup(entry, plan.service, "192.0.2.1");
        if (!response.request_id_prefix.empty()) {
            m_prefixes[entry] = response.request_id_prefix;
        }
    }
    const auto known = m_prefixes.find(entry);
    return known == m_prefixes.end() ? std::nullopt : std::optional(known->second);
}

void callers::submit(call_record& record, bool fresh_id) {
    const std::string entry = record.entries.front();
    std::rotate(record.entries.begin(), record.entries.begin() + 1, record.entries.end());
    const bool idempotent = record.plan.service == "stock";
    if (fresh_id) {
        const auto prefix =
            idempotent ? std::optional<std::string>("free-") : current_prefix(entry, record.plan);
        if (!prefix) {
            continue_call(record, nullptr);
            return;
        }
        record.request.request_id = *prefix + std::to_string(++m_last_nonce);
        m_world.set_home(record.request.request_id, record.plan.home);
    }
    m_world.record(test_support::caller_sent{record.request.request_id, content_hash(record.request),
                                             idempotent ? config::request_semantics::idempotent
                                                        : config::request_semantics::non_idempotent});
    const auto index = record.submissions.size();
    record.submissions.push_back(
        {record.request.request_id, entry, m_world.now(), record.plan.timeout, std::nullopt, nullptr});
    m_world.submit(entry, record.request, [this, &record, index](const engine::response_ptr& response) {
        handle_response(record, index, response);
    });
    m_world.events().after(record.plan.timeout + caller_grace, [this, &record, index] {
        if (record.submissions.size() == index + 1 && !record.submissions[index].ended) {
            continue_call(record, nullptr);
        }
    });
}

void callers::handle_response(call_record& record, std::size_t index, const engine::response_ptr& response) {
    auto& sent = record.submissions[index];
    sent.ended = m_world.now();
    sent.response = response;
    if (response) {
        m_world.record(test_support::caller_answered{sent.id, content_hash(record.request),
                                                     response->execution, base::hash_bytes(response->body)});
    }
    if (index + 1 == record.submissions.size() && !record.done) {
        continue_call(record, response);
    }
}

void callers::continue_call(call_record& record, const engine::response_ptr& response) {
    const auto outcome = response ? response->execution : execution_state::unknown;
    const auto advice = response && response->error ? base::answer_for(*response->error).advice
                                                    : base::retry_advice::same_request_id;
    const bool idempotent = record.plan.service == "stock";
    const bool must_not_resend = !idempotent && advice == base::retry_advice::never;
    if (outcome == execution_state::executed || must_not_resend || record.plan.resends == 0) {
        record.done = true;
        return;
    }
    --record.plan.resends;
    const base::duration advised = response ? response->retry_after : base::duration::zero();
    // Entry instances keep no records of idempotent requests, so each submission gets a fresh ID.
    const bool fresh_id =
        idempotent || outcome == execution_state::not_executed || record.request.request_id.empty();
    m_world.events().after(std::max<base::duration>(advised, minimum_resend_delay),
                           [this, &record, fresh_id] { submit(record, fresh_id); });
}

std::size_t callers::count(execution_state outcome, base::time_point since) const {
    return static_cast<std::size_t>(
        std::count_if(m_calls.begin(), m_calls.end(), [&](const call_record& item) {
            return !item.submissions.empty() && item.submissions.front().sent >= since &&
                   item.outcome() == outcome;
        }));
}

std::size_t callers::sent(base::time_point since) const {
    return static_cast<std::size_t>(
        std::count_if(m_calls.begin(), m_calls.end(), [&](const call_record& item) {
            return !item.submissions.empty() && item.submissions.front().sent >= since;
        }));
}

std::vector<std::string> callers::errors_without_retry_after() const {
    std::vector<std::string> lines;
    for (const auto& record : m_calls) {
        for (const auto& item : record.submissions) {
            if (!item.response || !item.response->error) {
                continue;
            }
            const auto& row = base::answer_for(*item.response->error);
            // After a refused request ID the caller may retry at once.
            const bool id_refused = row.status < 500;
            if (row.advice == base::retry_advice::fresh_request_id && !id_refused &&
                item.response->retry_after <= base::duration::zero()) {
                lines.push_back(fmt::format("{} through {}: {}", item.id, item.entry, row.name));
            }
        }
    }
    return lines;
}

std::vector<std::string> callers::late_responses() const {
    std::vector<std::string> lines;
    for (const auto& record : m_calls) {
        for (const auto& item : record.submissions) {
            const auto limit = item.sent + item.timeout + response_slack;
            const bool in_time = item.ended && *item.ended <= limit;
            if (!in_time && limit < m_world.now() && !m_world.was_interrupted(item.entry, item.sent, limit)) {
                lines.push_back(fmt::format("{} through {} sent at {} ms was {}", item.id, item.entry,
                                            elapsed(item.sent),
                                            item.ended ? "answered late" : "not answered"));
            }
        }
    }
    return lines;
}

} // namespace carawayway::engine_test
