// The part of one account's quota that this gateway may use.
#pragma once

#include "carawayway/accounts/rate_average.hpp"
#include "carawayway/accounts/usage_messages.hpp"
#include "carawayway/routing/configuration.hpp"

#include <optional>
#include <string>

namespace carawayway::accounts {

// Whether a request may run now, and if not, when to ask again.
struct quota_decision {
    bool is_admitted = true;
    base::duration retry_after{}; // for a request that is not admitted

    bool operator==(const quota_decision&) const = default;
};

// Admits requests against what the owner of the quota has granted. An account that is new here is admitted
// ahead of the first grant, so that no request waits for a message. Without answers of the owner, this
// gateway goes on with the share of the quota that it had, which the owner keeps for it.
class quota_account {
public:
    // Unused grants end, so that a gateway whose callers have moved away keeps nothing from others.
    static constexpr base::duration grant_lifetime = std::chrono::seconds{2};
    // Between two reports while grants run out, and while they suffice.
    static constexpr base::duration shortest_report_interval = std::chrono::milliseconds{100};
    static constexpr base::duration usual_report_interval = std::chrono::seconds{1};
    // A report without reply for this long is sent again.
    static constexpr base::duration reply_timeout = std::chrono::milliseconds{400};
    // Without a reply for this long, the owner does not answer.
    static constexpr base::duration silence = std::chrono::milliseconds{800};
    // Without a reply for this long, the owner may have lost its registration, and others may use the share.
    static constexpr base::duration long_silence = std::chrono::seconds{6};
    // Part of the share that is used then, if the account was short of quota.
    static constexpr double long_silence_part = 0.5;
    // A reply of this age tells nothing of how much of the quota is unused.
    static constexpr base::duration reply_lifetime = std::chrono::milliseconds{1500};
    // A reply of this age tells nothing of the demand at all gateways.
    static constexpr base::duration demand_lifetime = std::chrono::seconds{20};
    // Requests of this time are granted at once.
    static constexpr base::duration granted_time = std::chrono::milliseconds{500};
    // Longest time until a rejected caller is told to return.
    static constexpr base::duration longest_retry_after = std::chrono::seconds{2};

    quota_account(std::string name, routing::request_quota quota);

    const std::string& name() const { return m_name; }
    void set_quota(const routing::request_quota& quota);

    // `initial_share` is the part of the quota that counts until the owner has answered.
    quota_decision try_admit(double initial_share, base::time_point now);
    // Takes back one request that was admitted and has not run.
    void refund();

    // Whether the owner should learn now what this gateway uses.
    bool is_report_due(base::time_point now) const;
    account_usage report(base::time_point now);
    void take_grant(const quota_grant& grant, base::time_point now);
    // The next report goes to another owner.
    void forget_owner() { m_unanswered_since.reset(); }

    // Whether nothing was asked for so long that there is nothing to remember.
    bool is_idle(base::time_point now) const;

private:
    bool is_owner_silent(base::time_point now) const;
    double wanted(base::time_point now) const;
    // Requests that may be admitted now beyond those that are held.
    double advance(double initial_share, base::time_point now);
    void expire_grants(base::time_point now);
    void refill_without_owner(base::time_point now);
    base::duration time_until_room(base::time_point now);

    std::string m_name;
    routing::request_quota m_quota;
    rate_average m_demand;
    double m_spent = 0.0;    // never falls
    double m_refunded = 0.0; // counted as spent, and may be admitted again
    double m_held = 0.0;     // negative: admitted ahead of a grant
    double m_share = 0.0;
    double m_advance = 0.0;
    double m_admitted_part = 1.0;  // as the owner has told
    double m_admitted_sum = 0.0;   // of that part for each request without a fresh reply; below 1
    bool m_has_idle_report = true; // the owner knows that callers ask for nothing
    std::optional<base::time_point> m_replied_at;
    std::optional<base::time_point> m_reported_at;
    std::optional<base::time_point> m_unanswered_since; // the first report without a reply
    base::time_point m_grant_ends_at{};
    base::time_point m_refilled_at{};
    base::time_point m_last_arrival{};
    double m_rejected_without_room = 0.0;
    base::time_point m_next_room{}; // for which no rejected caller has been told to return
};

} // namespace carawayway::accounts
