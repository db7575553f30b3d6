// Accounts in use, their owners and the messages to them.
#include "carawayway/accounts/quota_ledger.hpp"

#include "carawayway/base/hash.hpp"

#include <algorithm>
#include <map>

namespace carawayway::accounts {

quota_ledger::quota_ledger(std::string own_gateway, std::uint64_t session, quota_tolerance tolerance)
    : m_own_gateway(std::move(own_gateway)), m_session(session), m_tolerance(tolerance) {}

void quota_ledger::set_accounts(const std::vector<routing::client_account>& accounts) {
    m_quotas.clear();
    std::unordered_map<account_id, routing::request_quota> by_id;
    for (const auto& account : accounts) {
        if (account.quota.is_limited()) {
            const auto quota = with_tolerance(account.quota, m_tolerance);
            m_quotas[account.name] = quota;
            by_id[base::hash_bytes(account.name)] = quota;
        }
    }
    m_owned.set_quotas(by_id);
    std::erase_if(m_accounts, [&by_id](const auto& item) { return !by_id.contains(item.first); });
    for (auto& [id, account] : m_accounts) {
        account.quota.set_quota(by_id.at(id));
    }
}

void quota_ledger::set_gateways(fleet_view view) {
    view.reporters.insert(m_own_gateway);
    view.used_by_callers = std::max<std::size_t>(1, view.used_by_callers);
    m_owned.set_gateways(view.reporters, view.unlisted_part);
    const bool has_same_owners = view.owners == m_view.owners;
    m_view = std::move(view);
    if (has_same_owners) {
        return;
    }
    for (auto& [id, account] : m_accounts) {
        const auto& owner = owner_of(account.quota.name());
        if (owner != account.owner) {
            account.owner = owner;
            account.quota.forget_owner();
        }
    }
}

const std::string& quota_ledger::owner_of(const std::string& account) const {
    const std::string* best = &m_own_gateway;
    std::uint64_t best_rank = 0;
    for (const auto& gateway : m_view.owners) {
        const auto rank = base::rendezvous_rank(account, gateway);
        if (rank >= best_rank) {
            best = &gateway;
            best_rank = rank;
        }
    }
    return *best;
}

quota_decision quota_ledger::try_admit(const std::string& account, base::time_point now) {
    const auto quota = m_quotas.find(account);
    if (quota == m_quotas.end()) {
        return {};
    }
    const auto id = base::hash_bytes(account);
    auto found = m_accounts.find(id);
    if (found == m_accounts.end()) {
        found = m_accounts.emplace(id, used_account{quota_account(account, quota->second), owner_of(account)})
                    .first;
    }
    auto& used = found->second;
    if (used.owner == m_own_gateway && used.quota.is_report_due(now)) {
        ask_own_quota(id, used, now);
    }
    return used.quota.try_admit(1.0 / static_cast<double>(m_view.used_by_callers), now);
}

void quota_ledger::refund(const std::string& account) {
    const auto found = m_accounts.find(base::hash_bytes(account));
    if (found != m_accounts.end()) {
        found->second.quota.refund();
    }
}

usage_report quota_ledger::next_report(const std::string& owner) {
    return {m_own_gateway, m_session, ++m_last_sequences[owner], {}};
}

void quota_ledger::add_usage(usage_report& report, account_id id, used_account& account,
                             base::time_point now) {
    report.accounts.push_back(account.quota.report(now));
    report.accounts.back().account = id;
    account.reported_in = report.sequence;
}

void quota_ledger::ask_own_quota(account_id id, used_account& account, base::time_point now) {
    auto report = next_report(m_own_gateway);
    add_usage(report, id, account, now);
    handle_reply(m_own_gateway, m_owned.handle(report, now), now);
}

std::vector<quota_ledger::outgoing_report> quota_ledger::due_reports(base::time_point now) {
    std::map<std::string, usage_report> by_owner;
    for (auto& [id, account] : m_accounts) {
        if (!account.quota.is_report_due(now)) {
            continue;
        }
        if (account.owner == m_own_gateway) {
            ask_own_quota(id, account, now);
            continue;
        }
        if (!by_owner.contains(account.owner)) {
            by_owner[account.owner] = next_report(account.owner);
        }
        add_usage(by_owner[account.owner], id, account, now);
    }
    std::erase_if(m_accounts, [now](const auto& item) { return item.second.quota.is_idle(now); });
    std::vector<outgoing_report> reports;
    reports.reserve(by_owner.size());
    for (auto& [owner, report] : by_owner) {
        reports.push_back({owner, std::move(report)});
    }
    return reports;
}

usage_reply quota_ledger::handle_report(const usage_report& report, base::time_point now) {
    return m_owned.handle(report, now);
}

void quota_ledger::handle_reply(const std::string& owner, const usage_reply& reply, base::time_point now) {
    if (reply.session != m_session) {
        return;
    }
    for (const auto& grant : reply.grants) {
        const auto found = m_accounts.find(grant.account);
        const bool is_expected = found != m_accounts.end() && found->second.owner == owner &&
                                 found->second.reported_in == reply.sequence;
        if (is_expected) {
            found->second.quota.take_grant(grant, now);
            found->second.reported_in = 0; // a copy of the reply grants nothing
        }
    }
}

} // namespace carawayway::accounts
