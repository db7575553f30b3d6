// Reports, shares and grants of the accounts that this gateway owns.
#include "carawayway/accounts/quota_owner.hpp"

#include "carawayway/accounts/quota_account.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carawayway::accounts {

namespace {

// Part of the unused quota that all gateways together may admit ahead of their next reports, by their demand.
constexpr double advanced_part = 0.5;

// What each gateway may admit ahead at least, while this many times as much is unused: with few requests at
// many gateways, nearly all of them arrive where none was expected.
constexpr double least_advance = 3.0;
constexpr double unused_for_least_advance = 4.0;

double advance_for(double share, double unused) {
    if (unused < 1.0) {
        return 0.0;
    }
    const double least = std::clamp(unused / unused_for_least_advance, 1.0, least_advance);
    return std::max(least, share * unused * advanced_part);
}

} // namespace

void quota_owner::set_quotas(const std::unordered_map<account_id, routing::request_quota>& quotas) {
    m_quotas = quotas;
    std::erase_if(m_accounts, [this](const auto& item) { return !m_quotas.contains(item.first); });
    for (auto& [id, account] : m_accounts) {
        account.bucket.set_quota(m_quotas.at(id));
    }
}

void quota_owner::set_gateways(const std::set<std::string>& names, double unlisted_part) {
    m_unlisted_part = unlisted_part;
    for (auto& [id, account] : m_accounts) {
        std::erase_if(account.gateways, [&names](const auto& item) { return !names.contains(item.first); });
    }
}

usage_reply quota_owner::handle(const usage_report& report, base::time_point now) {
    usage_reply reply{report.session, report.sequence, {}};
    for (const auto& usage : report.accounts) {
        const auto quota = m_quotas.find(usage.account);
        if (quota == m_quotas.end()) {
            continue;
        }
        // Another owner has granted the burst to a gateway that has used the account before.
        const bool is_in_use = usage.spent + std::min(0.0, usage.held) >= 1.0;
        const double part = is_in_use ? succeeding_level : initial_level;
        const double level =
            std::max(quota->second.burst * part, std::min(quota->second.burst, initial_requests));
        const quota_bucket initial(quota->second, level, now);
        auto& account = m_accounts.try_emplace(usage.account, owned_account{initial, {}, now}).first->second;
        if (now - account.refilled_at > report_memory) {
            account = {initial, {}, now};
        }
        auto& gateway = account.gateways[report.gateway];
        if (gateway.session == report.session && report.sequence <= gateway.sequence) {
            continue; // overtaken by a later report
        }
        refill(account, now);
        record(account, gateway, report, usage, now);
        reply.grants.push_back(grant_to(account, gateway, usage));
    }
    return reply;
}

void quota_owner::refill(owned_account& account, base::time_point now) const {
    const double elapsed = base::to_seconds(now - std::exchange(account.refilled_at, now));
    double silent_part = 0.0;
    for (auto& [name, gateway] : account.gateways) {
        const auto age = now - gateway.heard_at;
        if (age > quota_account::grant_lifetime) {
            gateway.held = 0.0;
        }
        if (age > kept_share) {
            gateway.demand = 0.0;
        }
        if (gateway.demand > 0.0 && age > silence) {
            silent_part += gateway.share;
            gateway.assumed += account.bucket.quota().requests_per_second * gateway.share * elapsed;
        }
    }
    account.bucket.refill(std::max(0.0, 1.0 - std::max(silent_part, m_unlisted_part)), now);
}

void quota_owner::record(owned_account& account, gateway_share& gateway, const usage_report& report,
                         const account_usage& usage, base::time_point now) {
    // Of a process that is new to this owner, only what it has admitted ahead of grants is not counted yet.
    const bool is_known = gateway.session == report.session && usage.spent >= gateway.spent;
    const double spent = is_known ? usage.spent - gateway.spent : -std::min(0.0, usage.held);
    account.bucket.take(std::max(0.0, spent - gateway.assumed));
    const auto since_last_report = is_known ? std::optional(now - gateway.heard_at) : std::nullopt;
    gateway = {report.session,   report.sequence, usage.spent, std::max(0.0, usage.held),
               usage.demand,     gateway.share,   0.0,         now,
               since_last_report};
}

quota_grant quota_owner::grant_to(owned_account& account, gateway_share& gateway,
                                  const account_usage& usage) {
    double demand = 0.0;
    double reserved = 0.0;
    for (const auto& [name, other] : account.gateways) {
        demand += other.demand;
        reserved += other.held;
    }
    const double share = demand > 0.0 ? gateway.demand / demand : 0.0;
    if (gateway.since_last_report) {
        const double elapsed =
            base::to_seconds(*gateway.since_last_report) / base::to_seconds(share_time_constant);
        gateway.share += (1.0 - std::exp(-elapsed)) * (share - gateway.share);
    } else {
        gateway.share = share * first_share_part;
    }
    double unused = std::max(0.0, account.bucket.level() - reserved);
    const double wanted = gateway.demand * base::to_seconds(quota_account::granted_time);
    const double fair = share * (unused + reserved);
    // A part of a request is of no use, and parts at many gateways would add up to what none can use.
    const double least = demand > account.bucket.quota().requests_per_second ? 1.0 : 0.0;
    const double target = std::max(least, std::min(wanted, fair));
    double granted = gateway.demand > 0.0 ? std::clamp(target - gateway.held, 0.0, unused) : 0.0;
    if (gateway.held + granted < 1.0) {
        granted = 0.0;
    }
    gateway.held += granted;
    unused -= granted;
    // What was admitted ahead of the grant is counted in the bucket now.
    const double rate = account.bucket.quota().requests_per_second;
    return {usage.account, granted - std::min(0.0, usage.held), advance_for(share, unused), gateway.share,
            unused < 1.0 && demand > rate ? rate / demand : 1.0};
}

} // namespace carawayway::accounts
