// Messages by which gateways share the quota of an account.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace carawayway::accounts {

// Identifies an account in messages: base::hash_bytes() of its name.
using account_id = std::uint64_t;

// What one gateway uses of the quota of an account. The numbers are of requests.
struct account_usage {
    account_id account = 0;
    double spent = 0.0;  // admitted since this gateway first met the account
    double held = 0.0;   // granted and not admitted yet; negative: admitted ahead of a grant
    double demand = 0.0; // per second, admitted or not; 0: callers ask for nothing any more

    bool operator==(const account_usage&) const = default;
};

struct usage_report {
    std::string gateway;
    std::uint64_t session = 0;  // of the process; a restarted one counts anew
    std::uint64_t sequence = 0; // rises with each report of a session
    std::vector<account_usage> accounts;

    bool operator==(const usage_report&) const = default;
};

// What the owner of an account's quota lets one gateway use. The numbers are of requests.
struct quota_grant {
    account_id account = 0;
    double granted = 0.0;       // in addition to what the gateway held when it sent its report
    double advance = 0.0;       // that the gateway may admit ahead of its next grant
    double share = 0.0;         // of the quota, by the demand of all gateways; 0..1
    double admitted_part = 1.0; // of the demand at all gateways that the quota permits; 0..1

    bool operator==(const quota_grant&) const = default;
};

struct usage_reply {
    std::uint64_t session = 0;  // of the report
    std::uint64_t sequence = 0; // of the report
    std::vector<quota_grant> grants;

    bool operator==(const usage_reply&) const = default;
};

} // namespace carawayway::accounts
