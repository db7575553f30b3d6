// Decides whether a request of an account may run, so that all gateways together keep the account's quota.
#pragma once

#include "carawayway/accounts/quota_account.hpp"
#include "carawayway/accounts/quota_owner.hpp"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace carawayway::accounts {

// What a gateway knows of the others.
struct fleet_view {
    std::set<std::string> owners;    // that own quotas; this gateway included or not
    std::set<std::string> reporters; // that may run, and report what they use
    std::size_t used_by_callers = 1; // gateways over which callers spread
    double unlisted_part = 0.0;      // of the gateways that may run; the store does not list them any more

    bool operator==(const fleet_view&) const = default;
};

// One for each gateway, used by its single thread. Messages are built and taken here and carried elsewhere.
class quota_ledger {
public:
    // `session` tells the processes that run under the name of this gateway apart.
    quota_ledger(std::string own_gateway, std::uint64_t session, quota_tolerance tolerance);

    struct outgoing_report {
        std::string owner; // name of the gateway that gets it
        usage_report report;

        bool operator==(const outgoing_report&) const = default;
    };

    void set_accounts(const std::vector<routing::client_account>& accounts);
    void set_gateways(fleet_view view);

    // An account without a quota is always admitted, without messages.
    quota_decision try_admit(const std::string& account, base::time_point now);
    // Takes back a request that was admitted, but was rejected before it could run.
    void refund(const std::string& account);

    // Whether a quota is in use, so that due_reports() must be asked.
    bool is_in_use() const { return !m_accounts.empty(); }
    std::vector<outgoing_report> due_reports(base::time_point now);
    usage_reply handle_report(const usage_report& report, base::time_point now);
    // Takes the grants of accounts that have not been reported again since.
    void handle_reply(const std::string& owner, const usage_reply& reply, base::time_point now);

    // The gateway that grants the quota of the account: all gateways that know the same others agree.
    const std::string& owner_of(const std::string& account) const;

private:
    struct used_account {
        quota_account quota;
        std::string owner;
        std::uint64_t reported_in = 0; // sequence of the last report to the owner
    };

    usage_report next_report(const std::string& owner);
    static void add_usage(usage_report& report, account_id id, used_account& account, base::time_point now);
    void ask_own_quota(account_id id, used_account& account, base::time_point now);

    std::string m_own_gateway;
    std::uint64_t m_session;
    quota_tolerance m_tolerance;
    std::unordered_map<std::string, routing::request_quota> m_quotas; // by name; only limited ones
    fleet_view m_view;
    std::unordered_map<account_id, used_account> m_accounts;         // used at this gateway
    std::unordered_map<std::string, std::uint64_t> m_last_sequences; // by owner
    quota_owner m_owned;
};

} // namespace carawayway::accounts
