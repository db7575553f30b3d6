// Grants parts of the quotas that this gateway owns to the gateways that use them.
#pragma once

#include "carawayway/accounts/quota_bucket.hpp"
#include "carawayway/accounts/usage_messages.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace carawayway::accounts {

// Each account has one owner, so that the number of messages grows with the gateways that use an account and
// not with its square. A grant is taken from the bucket of the account at once when it is used, and reserved
// until then. What a gateway may use on its own while it does not report is kept for it.
class quota_owner {
public:
    // A gateway that has reported demand and then nothing for this long may be cut off, and goes on with its
    // share.
    static constexpr base::duration silence = std::chrono::milliseconds{1500};
    // An account that no gateway has reported for this long is met anew: nobody has used it, or another
    // gateway has owned it in the meantime.
    static constexpr base::duration report_memory = std::chrono::seconds{5};
    // Its share is kept for this long.
    static constexpr base::duration kept_share = std::chrono::seconds{30};
    // Of the moving average of shares: a gateway that is cut off goes on with its usual share, and not with
    // that of one moment.
    static constexpr base::duration share_time_constant = std::chrono::seconds{3};
    // Part of its share with which a gateway begins that is new to an account, as others may not have
    // reported their demand yet: what was told must not add up to more than the quota if they are cut off
    // then.
    static constexpr double first_share_part = 0.25;
    // Part of the burst with which an owner begins that has not seen what was used before.
    static constexpr double initial_level = 0.5;
    // The same, if the account was in use before.
    static constexpr double succeeding_level = 0.1;
    // And at least this many requests, up to the burst: small accounts arrive at many gateways at once.
    static constexpr double initial_requests = 10.0;

    // Accounts by their ID; those that are not listed have no limit.
    void set_quotas(const std::unordered_map<account_id, routing::request_quota>& quotas);
    // The gateways that may report; nothing is kept for others. `unlisted_part` of them are not listed by the
    // store any more. They may be cut off from this gateway and go on with their shares, which an earlier
    // owner has told them, so as much of each quota is kept for them.
    void set_gateways(const std::set<std::string>& names, double unlisted_part);

    usage_reply handle(const usage_report& report, base::time_point now);

private:
    struct gateway_share {
        std::uint64_t session = 0;
        std::uint64_t sequence = 0;
        double spent = 0.0;
        double held = 0.0; // granted and not used
        double demand = 0.0;
        double share = 0.0;   // of the demand of all gateways, on average
        double assumed = 0.0; // used since the last report, as assumed for a silent gateway
        base::time_point heard_at{};
        std::optional<base::duration> since_last_report; // at that time; nothing for the first one
    };

    struct owned_account {
        quota_bucket bucket;
        std::map<std::string, gateway_share> gateways; // by name
        base::time_point refilled_at{};
    };

    void refill(owned_account& account, base::time_point now) const;
    static void record(owned_account& account, gateway_share& gateway, const usage_report& report,
                       const account_usage& usage, base::time_point now);
    static quota_grant grant_to(owned_account& account, gateway_share& gateway, const account_usage& usage);

    std::unordered_map<account_id, routing::request_quota> m_quotas;
    double m_unlisted_part = 0.0;
    std::unordered_map<account_id, owned_account> m_accounts; // only those in m_quotas
};

} // namespace carawayway::accounts
