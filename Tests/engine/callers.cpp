// Look-ups, request IDs, resends and the check of answer times.
#include "Tests/engine/callers.hpp"

#include "carawayway/base/hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace carawayway::engine_test {

namespace {

using base::execution_state;
using std::chrono::milliseconds;

constexpr auto shortest_resend_wait = milliseconds(100);
constexpr auto patience = milliseconds(500);    // of a caller after its own timeout
constexpr auto answer_slack = milliseconds(25); // a round trip to the caller and the engine's clock

} // namespace

execution_state call_record::outcome() const {
    const auto* last = answer();
    return last == nullptr ? execution_state::unknown : last->execution;
}

const engine::service_response* call_record::answer() const {
    return submissions.empty() ? nullptr : submissions.back().answer.get();
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
    // Callers know different entry instances: each call asks the next one.
    std::vector<std::string> known(entry_names.begin(), entry_names.end());
    std::rotate(known.begin(),
                known.begin() +
                    static_cast<std::ptrdiff_t>(m_lookups[plan.service + plan.home]++ % known.size()),
                known.end());
    for (const auto& name : known) {
        if (!m_world.running(name)) {
            continue;
        }
        const auto answer = m_world.lookup(name, plan.service, client);
        for (const auto& item : answer.entries) {
            entries.push_back(item.name);
        }
        if (!answer.error) {
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

std::optional<std::string> callers::prefix_of(const std::string& entry, const call_plan& plan) {
    if (m_world.running(entry)) {
        // No client block holds this address: every entry instance gives such a caller a prefix of its own.
        const auto answer = m_world.lookup(entry, plan.service, "192.0.2.1");
        if (!answer.request_id_prefix.empty()) {
            m_prefixes[entry] = answer.request_id_prefix;
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
        const auto prefix = idempotent ? std::optional<std::string>("free-") : prefix_of(entry, record.plan);
        if (!prefix) {
            go_on(record, nullptr);
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
    m_world.submit(entry, record.request, [this, &record, index](const engine::response_ptr& answer) {
        answered(record, index, answer);
    });
    m_world.events().after(record.plan.timeout + patience, [this, &record, index] {
        if (record.submissions.size() == index + 1 && !record.submissions[index].ended) {
            go_on(record, nullptr);
        }
    });
}

void callers::answered(call_record& record, std::size_t index, const engine::response_ptr& answer) {
    auto& sent = record.submissions[index];
    sent.ended = m_world.now();
    sent.answer = answer;
    if (answer) {
        m_world.record(test_support::caller_answered{sent.id, content_hash(record.request), answer->execution,
                                                     base::hash_bytes(answer->body)});
    }
    if (index + 1 == record.submissions.size() && !record.done) {
        go_on(record, answer);
    }
}

void callers::go_on(call_record& record, const engine::response_ptr& answer) {
    const auto outcome = answer ? answer->execution : execution_state::unknown;
    const auto advice = answer && answer->error ? base::properties_of(*answer->error).advice
                                                : base::retry_advice::same_request_id;
    const bool idempotent = record.plan.service == "stock";
    const bool pointless = !idempotent && advice == base::retry_advice::never;
    if (outcome == execution_state::executed || pointless || record.plan.resends == 0) {
        record.done = true;
        return;
    }
    --record.plan.resends;
    const base::duration advised = answer ? answer->retry_after : base::duration::zero();
    // IDs of idempotent requests only name one submission: nothing is kept about them.
    const bool fresh_id =
        idempotent || outcome == execution_state::not_executed || record.request.request_id.empty();
    m_world.events().after(std::max<base::duration>(advised, shortest_resend_wait),
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

std::vector<std::string> callers::refusals_without_advice() const {
    std::vector<std::string> lines;
    for (const auto& item : m_calls) {
        for (const auto& one : item.submissions) {
            if (!one.answer || !one.answer->error) {
                continue;
            }
            const auto& row = base::properties_of(*one.answer->error);
            // After a refused request ID the caller may come back at once.
            const bool id_refused = row.status < 500;
            if (row.advice == base::retry_advice::fresh_request_id && !id_refused &&
                one.answer->retry_after <= base::duration::zero()) {
                lines.push_back(fmt::format("{} through {}: {}", one.id, one.entry, row.name));
            }
        }
    }
    return lines;
}

std::vector<std::string> callers::late_answers() const {
    std::vector<std::string> lines;
    for (const auto& item : m_calls) {
        for (const auto& one : item.submissions) {
            const auto limit = one.sent + one.timeout + answer_slack;
            const bool in_time = one.ended && *one.ended <= limit;
            if (!in_time && limit < m_world.now() && !m_world.disturbed(one.entry, one.sent, limit)) {
                lines.push_back(fmt::format("{} through {} sent at {} ms was {}", one.id, one.entry,
                                            elapsed(one.sent), one.ended ? "answered late" : "not answered"));
            }
        }
    }
    return lines;
}

} // namespace carawayway::engine_test
