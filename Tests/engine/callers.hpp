// Simulated callers that follow the resend rules: they resend with the same request ID after an unknown
// outcome and with a fresh one after "not executed", each time through the next entry instance of the look-up
// response.
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
    std::string entry{}; // first entry instance to use; empty: the first of the look-up response
    std::string body{};  // empty: unique content
    base::duration timeout = std::chrono::milliseconds(1000);
    std::uint32_t resends = 0;
};

struct submission {
    std::string id;
    std::string entry;
    base::time_point sent;
    base::duration timeout{};
    std::optional<base::time_point> ended; // when the response arrived or the connection broke
    engine::response_ptr response;         // null if there was no response
};

struct call_record {
    call_plan plan;
    engine::service_request request;
    std::vector<std::string> entries; // in the order in which they are tried
    std::vector<submission> submissions;
    bool done = false;

    // Outcome of the last submission; unknown if there was no response.
    base::execution_state outcome() const;
    const engine::service_response* response() const;
};

class callers {
public:
    explicit callers(engine_world& world) : m_world(world) {}

    // The reference stays valid.
    const call_record& call(call_plan plan);
    // Sends the request again with the same ID through this entry instance.
    const call_record& resend(const call_record& first, const std::string& entry);
    // Schedules calls at a steady rate from now on.
    void load(const call_plan& plan, std::uint32_t per_second, base::duration time);

    const std::deque<call_record>& calls() const { return m_calls; }
    std::size_t count(base::execution_state outcome, base::time_point since) const;
    std::size_t sent(base::time_point since) const;

    // Error responses that advise a retry without a retry time, one line each.
    std::vector<std::string> errors_without_retry_after() const;
    // Submissions without a response by their deadline plus a round trip, one line each. Submissions to an
    // entry instance that was dead or paused in the meantime are left out.
    std::vector<std::string> late_responses() const;

private:
    void submit(call_record& record, bool fresh_id);
    void handle_response(call_record& record, std::size_t index, const engine::response_ptr& response);
    void continue_call(call_record& record, const engine::response_ptr& response);
    std::vector<std::string> entries_for(const call_plan& plan, const std::string& client);
    std::optional<std::string> current_prefix(const std::string& entry, const call_plan& plan);

    engine_world& m_world;
    std::deque<call_record> m_calls;
    std::map<std::string, std::size_t> m_lookups;  // by service
    std::map<std::string, std::string> m_prefixes; // by entry instance, last issued prefix
    std::uint64_t m_last_nonce = 0;
};

} // namespace carawayway::engine_test
