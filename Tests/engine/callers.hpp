// Callers that keep to the rules: after an unknown outcome they resend with the same request ID, after "not
// executed" with a fresh one, each time through the next entry instance of their look-up answer.
#pragma once

#include "Tests/engine/engine_world.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawayway::engine_test {

struct call_plan {
    std::string service = "booking";
    std::string home = "north";
    std::string entry{}; // the first one to use; empty: the first one of the look-up answer
    std::string body{};  // empty: unlike any other
    base::duration timeout = std::chrono::milliseconds(1000);
    std::uint32_t resends = 0;
};

struct submission {
    std::string id;
    std::string entry;
    base::time_point sent;
    base::duration timeout{};
    std::optional<base::time_point> ended; // answered, or the connection broke
    engine::response_ptr answer;           // null without an answer
};

struct call_record {
    call_plan plan;
    engine::service_request request;
    std::vector<std::string> entries; // in the order in which they are tried
    std::vector<submission> submissions;
    bool done = false;

    // Of the last submission; unknown without an answer.
    base::execution_state outcome() const;
    const engine::service_response* answer() const;
};

class callers {
public:
    explicit callers(engine_world& world) : m_world(world) {}

    // The record stays valid.
    const call_record& call(call_plan plan);
    // Sends the planned request again with the same ID, through this entry instance.
    const call_record& resend(const call_record& first, const std::string& entry);
    // A steady rate from now on.
    void load(const call_plan& plan, std::uint32_t per_second, base::duration time);

    const std::deque<call_record>& calls() const { return m_calls; }
    std::size_t count(base::execution_state outcome, base::time_point since) const;
    std::size_t sent(base::time_point since) const;

    // Refusals that tell the caller to come back but not when, one line each.
    std::vector<std::string> refusals_without_advice() const;
    // Submissions that were not answered by their deadline plus a round trip, one line each. Those to an
    // entry instance that was dead or paused in the meantime cannot be.
    std::vector<std::string> late_answers() const;

private:
    void submit(call_record& record, bool fresh_id);
    void answered(call_record& record, std::size_t index, const engine::response_ptr& answer);
    void go_on(call_record& record, const engine::response_ptr& answer);
    std::vector<std::string> entries_for(const call_plan& plan, const std::string& client);
    std::optional<std::string> prefix_of(const std::string& entry, const call_plan& plan);

    engine_world& m_world;
    std::deque<call_record> m_calls;
    std::map<std::string, std::size_t> m_lookups;  // by service
    std::map<std::string, std::string> m_prefixes; // by entry instance, as issued last
    std::uint64_t m_last_nonce = 0;
};

} // namespace carawayway::engine_test
