// Guards against a request that runs twice, against a request that runs after it was reported as not
// executed, and against records that are dropped too early or never.
#include "carawayway/requests/request_registry.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace carawayway::requests {
namespace {

using namespace std::chrono_literals;
using base::error_kind;
using registry = request_registry<int>;

constexpr std::uint64_t incarnation = 0xa1;
constexpr base::time_point start{1h};
constexpr base::duration acceptance = 20ms;
constexpr base::duration retention = 30ms;

registry make_registry(std::size_t limit) {
    return registry({"e", incarnation, start, acceptance, retention, limit, 7});
}

request_id parse(const std::string& text) {
    base::failure reason;
    const auto id = parse_request_id(text, reason);
    EXPECT_TRUE(id.has_value()) << text;
    return id.value_or(request_id{});
}

using result = begin_result<int>;

result refused(error_kind kind) {
    return {begin_kind::refused, std::nullopt, kind};
}

const result fresh{begin_kind::fresh, std::nullopt, std::nullopt};
const result joined{begin_kind::joined, std::nullopt, std::nullopt};

result replayed(int answer) {
    return {begin_kind::replayed, answer, std::nullopt};
}

TEST(request_registry_test, a_resend_joins_the_request_and_later_gets_the_same_outcome) {
    auto table = make_registry(4);
    const auto id = parse(table.issue_prefix(start) + "n");
    EXPECT_EQ(table.begin(id, 1, 100, start), fresh);
    EXPECT_EQ(table.begin(id, 1, 101, start), joined);
    EXPECT_EQ(table.begin(id, 1, 102, start), joined);
    EXPECT_EQ(table.begin(id, 2, 103, start), refused(error_kind::request_id_reused));
    table.remove_waiter(id, 101);
    EXPECT_FALSE(table.was_dispatched(id));
    EXPECT_TRUE(table.try_mark_dispatched(id));
    EXPECT_FALSE(table.try_mark_dispatched(id)) << "a second dispatch would run the request twice";
    EXPECT_TRUE(table.was_dispatched(id));
    EXPECT_EQ(table.finish(id, 5, start), (std::vector<std::uint64_t>{100, 102}));
    EXPECT_TRUE(table.finish(id, 6, start).empty());
    EXPECT_FALSE(table.try_mark_dispatched(id));
    EXPECT_EQ(table.begin(id, 1, 104, start + 40ms), replayed(5));
    EXPECT_EQ(table.begin(id, 2, 105, start), refused(error_kind::request_id_reused));
    EXPECT_EQ(table.state_of(id), request_state::finished);
}

TEST(request_registry_test,
     a_new_id_is_not_accepted_after_the_acceptance_period_and_expired_after_the_retention) {
    auto table = make_registry(4);
    const auto id = parse(table.issue_prefix(start) + "n");
    EXPECT_EQ(table.begin(id, 1, 1, start + acceptance + 1ns), refused(error_kind::request_id_not_accepted));
    EXPECT_EQ(table.begin(id, 1, 1, start), refused(error_kind::request_id_not_accepted))
        << "a clock that goes back must not reopen acceptance";
    EXPECT_EQ(table.begin(id, 1, 1, start + acceptance + retention), refused(error_kind::request_id_expired));
}

TEST(request_registry_test, ids_of_other_incarnations_and_of_prefixes_never_issued_are_refused) {
    auto table = make_registry(4);
    auto id = parse(table.issue_prefix(start) + "n");
    id.accept_until += 1ms;
    EXPECT_EQ(table.begin(id, 1, 1, start), refused(error_kind::request_id_not_issued));
    EXPECT_EQ(base::answer_for(error_kind::request_id_not_issued).execution, base::execution_state::unknown)
        << "the same ID may be issued later and then run";
    id.incarnation += 1;
    EXPECT_FALSE(table.owns(id));
    EXPECT_EQ(table.begin(id, 1, 1, start), refused(error_kind::request_id_owner_gone));
    EXPECT_EQ(table.size(), 0U);
}

TEST(request_registry_test, a_full_table_closes_all_prefixes_issued_so_far) {
    auto table = make_registry(1);
    const std::string prefix = table.issue_prefix(start);
    const std::string newer_prefix = table.issue_prefix(start + 1ms);
    const auto live = parse(prefix + "live");
    EXPECT_EQ(table.begin(live, 1, 1, start + 1ms), fresh);
    EXPECT_EQ(table.begin(parse(prefix + "b"), 1, 1, start + 1ms), refused(error_kind::request_table_full));
    EXPECT_EQ(table.begin(live, 1, 2, start + 1ms), joined) << "records of requests in progress survive";

    const std::string later_prefix = table.issue_prefix(start + 1ms);
    EXPECT_GT(parse(later_prefix + "n").accept_until, parse(newer_prefix + "n").accept_until);
    table.finish(live, 5, start + 1ms);
    const auto later = start + 1ms + acceptance + retention + 200ms;
    table.expire(later);
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(table.begin(parse(newer_prefix + "c"), 1, 1, start + 1ms),
              refused(error_kind::request_id_expired));
    EXPECT_EQ(table.begin(parse(table.issue_prefix(later) + "d"), 1, 1, later), fresh);
}

TEST(request_registry_test, a_closed_prefix_stays_closed_when_the_table_has_room_again) {
    auto table = registry({"e", incarnation, start, 10s, 1s, 1, 0});
    const auto early = parse(table.issue_prefix(start) + "n");
    EXPECT_EQ(table.begin(early, 1, 1, start), fresh);
    const auto closed = parse(table.issue_prefix(start + 9s) + "n");
    EXPECT_EQ(table.begin(closed, 1, 1, start + 9s), refused(error_kind::request_table_full));
    table.finish(early, 5, start + 9s);
    table.expire(start + 12s);
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(table.begin(closed, 1, 1, start + 12s), refused(error_kind::request_id_not_accepted));
    EXPECT_EQ(table.begin(parse(table.issue_prefix(start + 12s) + "n"), 1, 1, start + 12s), fresh);
}

TEST(request_registry_test, a_request_that_is_not_final_is_kept_beyond_its_retention) {
    auto table = make_registry(1);
    const auto id = parse(table.issue_prefix(start) + "n");
    EXPECT_EQ(table.begin(id, 1, 1, start), fresh);
    table.expire(start + 1h);
    EXPECT_EQ(table.begin(id, 1, 2, start + 1h), joined);
    table.finish(id, 5, start + 1h);
    table.expire(start + 1h + 2s);
    EXPECT_EQ(table.size(), 0U);
}

// What was reported to callers about one ID.
struct id_history {
    bool fresh = false;
    bool dispatched = false;
    bool not_executed = false;
    std::uint64_t fingerprint = 0;
    std::optional<int> answer;
    std::vector<std::uint64_t> waiters;
};

class registry_model {
public:
    // With an acceptance period much longer than the retention, records expire while later prefixes are still
    // open.
    explicit registry_model(base::duration acceptance_time)
        : m_acceptance(acceptance_time),
          m_table({"e", incarnation, start, acceptance_time, retention, limit, 7}) {}

    void run_step() {
        switch (*rc::gen::weightedElement<int>({{3, 0}, {8, 1}, {2, 2}, {3, 3}, {2, 4}, {1, 5}})) {
        case 0:
            m_issued_accept_times.push_back(parse(m_table.issue_prefix(m_now) + "n").accept_until);
            RC_ASSERT(m_table.acceptance_left(m_now) <= m_acceptance + 1ms);
            break;
        case 1:
            begin(random_id());
            break;
        case 2:
            dispatch(random_id());
            break;
        case 3:
            finish(random_id());
            break;
        case 4:
            m_now += *rc::gen::inRange<std::int64_t>(0, 1000) * m_acceptance / 2000;
            break;
        default:
            m_table.expire(m_now);
        }
        RC_ASSERT(m_table.size() <= limit);
        for (const auto& [id, history] : m_histories) {
            RC_ASSERT(!history.fresh || history.answer.has_value() ||
                      m_table.state_of(parse(id)).has_value());
        }
    }

    void finish_all_and_expire() {
        for (const auto& [id, history] : m_histories) {
            m_table.finish(parse(id), 0, m_now);
        }
        for (int call = 0; call < 3; ++call) {
            m_now += m_acceptance + retention + 2s;
            m_table.expire(m_now);
        }
        RC_ASSERT(m_table.size() == 0U);
        RC_ASSERT(m_table.pending() == 0U);
    }

private:
    static constexpr std::size_t limit = 3;

    request_id random_id() {
        const base::duration forged = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
        const bool issued = !m_issued_accept_times.empty() && *rc::gen::inRange(0, 8) != 0;
        const auto accept_until =
            issued ? m_issued_accept_times[*rc::gen::inRange<std::size_t>(0, m_issued_accept_times.size())]
                   : forged;
        return {"e", incarnation, accept_until, std::string(1, *rc::gen::elementOf(std::string("abcd")))};
    }

    void begin(const request_id& id) {
        id_history& history = m_histories[to_string(id)];
        const auto fingerprint = static_cast<std::uint64_t>(*rc::gen::inRange(0, 5) == 0);
        const auto outcome = m_table.begin(id, fingerprint, ++m_waiter, m_now);
        switch (outcome.kind) {
        case begin_kind::fresh:
            RC_ASSERT(!history.fresh);
            RC_ASSERT(!history.not_executed);
            RC_ASSERT(m_now - start <= id.accept_until);
            RC_ASSERT(id.accept_until <= m_now - start + m_acceptance + 1ms);
            history.fresh = true;
            history.fingerprint = fingerprint;
            history.waiters.push_back(m_waiter);
            break;
        case begin_kind::joined:
            RC_ASSERT(history.fresh && !history.answer && history.fingerprint == fingerprint);
            history.waiters.push_back(m_waiter);
            break;
        case begin_kind::replayed:
            RC_ASSERT(outcome.answer == history.answer);
            RC_ASSERT(history.fingerprint == fingerprint);
            break;
        case begin_kind::refused:
            check_refusal(history, fingerprint, outcome.refusal.value());
        }
    }

    static void check_refusal(id_history& history, std::uint64_t fingerprint, error_kind kind) {
        if (kind == error_kind::request_id_reused) {
            RC_ASSERT(history.fresh && history.fingerprint != fingerprint);
            return;
        }
        if (base::answer_for(kind).execution == base::execution_state::not_executed) {
            RC_ASSERT(!history.fresh);
            history.not_executed = true;
        }
    }

    void dispatch(const request_id& id) {
        id_history& history = m_histories[to_string(id)];
        const bool allowed = m_table.try_mark_dispatched(id);
        RC_ASSERT(allowed == (history.fresh && !history.dispatched && !history.answer));
        history.dispatched = history.dispatched || allowed;
    }

    void finish(const request_id& id) {
        id_history& history = m_histories[to_string(id)];
        const auto waiters = m_table.finish(id, ++m_answer, m_now);
        if (!history.fresh || history.answer) {
            RC_ASSERT(waiters.empty());
            return;
        }
        RC_ASSERT(waiters == history.waiters);
        history.answer = m_answer;
    }

    base::duration m_acceptance;
    registry m_table;
    base::time_point m_now = start;
    std::vector<base::duration> m_issued_accept_times;
    std::map<std::string, id_history> m_histories; // by the text of the ID
    std::uint64_t m_waiter = 0;
    int m_answer = 0;
};

RC_GTEST_PROP(request_registry_test, no_order_of_events_runs_a_request_twice_or_breaks_a_refusal, ()) {
    registry_model model(*rc::gen::element(1, 20) * acceptance);
    const int steps = *rc::gen::inRange(50, 300);
    for (int step = 0; step < steps; ++step) {
        model.run_step();
    }
    model.finish_all_and_expire();
}

} // namespace
} // namespace carawayway::requests
