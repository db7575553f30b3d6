// Sends due reports, and answers those of other gateways.
#include "carawayway/gateway/usage_session.hpp"

#include "carawayway/base/log.hpp"

#include <algorithm>
#include <span>

namespace carawayway::gateway {

usage_session::usage_session(const boost::asio::any_io_executor& executor,
                             const boost::asio::ip::udp::endpoint& address, accounts::quota_ledger& ledger,
                             directory gateways)
    : m_socket(executor, address), m_timer(executor), m_ledger(ledger), m_gateways(std::move(gateways)) {
    m_socket.non_blocking(true);
    receive_next();
}

// FIXME: Looks at all accounts in use for each request.
void usage_session::wake() {
    send_due_reports();
    if (!m_is_checking) {
        check();
    }
}

void usage_session::check() {
    m_is_checking = m_ledger.is_in_use();
    if (!m_is_checking) {
        return;
    }
    m_timer.expires_after(check_interval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            send_due_reports();
            check();
        }
    });
}

void usage_session::send_due_reports() {
    for (auto& out : m_ledger.due_reports(base::monotonic_now())) {
        if (const auto owner = m_gateways.address_of(out.owner)) {
            send_report(*owner, std::move(out.report));
        }
    }
}

void usage_session::send_report(const boost::asio::ip::udp::endpoint& owner, accounts::usage_report report) {
    const auto accounts = std::move(report.accounts);
    for (std::size_t first = 0; first < accounts.size(); first += maximum_accounts) {
        const auto count = std::min(maximum_accounts, accounts.size() - first);
        const auto part = std::span(accounts).subspan(first, count);
        report.accounts.assign(part.begin(), part.end());
        send(encode(report), owner);
    }
}

void usage_session::send(const std::string& payload, const boost::asio::ip::udp::endpoint& receiver) {
    boost::system::error_code error;
    m_socket.send_to(boost::asio::buffer(payload), receiver, 0, error);
    if (error) {
        base::log(base::log_level::debug, "usage-not-sent", {{"reason", error.message()}});
    }
}

void usage_session::receive_next() {
    m_socket.async_receive_from(
        boost::asio::buffer(m_received), m_sender, [this](boost::system::error_code error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            // Any other error concerns one datagram, for example one that a recipient's host rejected.
            if (!error) {
                handle(decode_usage_message(std::span(m_received).first(size)), m_sender);
            }
            receive_next();
        });
}

// Only what comes from the registered address of a gateway counts.
void usage_session::handle(const usage_message& message, const boost::asio::ip::udp::endpoint& sender) {
    const auto name = m_gateways.name_at(sender);
    if (!name) {
        base::log(base::log_level::debug, "usage-of-unknown-gateway", {{"port", sender.port()}});
        return;
    }
    const auto now = base::monotonic_now();
    if (const auto* const report = std::get_if<accounts::usage_report>(&message)) {
        if (report->gateway == *name) {
            send(encode(m_ledger.handle_report(*report, now)), sender);
        }
    } else if (const auto* const reply = std::get_if<accounts::usage_reply>(&message)) {
        m_ledger.handle_reply(*name, *reply, now);
    } else {
        base::log(base::log_level::debug, "usage-message-invalid", {{"gateway", *name}});
    }
}

} // namespace carawayway::gateway
