// Lists the store page by page, as a gateway does.
#include "carawayway/cli/store_listing.hpp"

#include "platform/protocol.hpp"

#include <fmt/format.h>

namespace carawayway::cli {

namespace {

void take(const fleet::store_record& record, store_contents& contents) {
    const auto subject = platform::protocol::subject_of(record.key);
    if (subject.kind == fleet::store_key_kind::configuration) {
        contents.configuration = record.value;
    }
    if (subject.kind != fleet::store_key_kind::server) {
        return;
    }
    // A registration that cannot be read receives no requests.
    const auto server = platform::protocol::read_server(subject.name, record.value);
    if (server && server->intent == fleet::server_intent::serving) {
        ++contents.servers_by_service[server->service];
    }
}

} // namespace

std::optional<store_contents> store_listing::read(std::string& reason) const {
    store_contents contents;
    std::string after;
    while (true) {
        http_call call;
        call.address = m_address;
        call.target = platform::protocol::list_call(after).target;
        call_failure failure = call_failure::none;
        const auto reply = m_call(call, failure, reason);
        if (!reply) {
            return std::nullopt;
        }
        const auto page = platform::protocol::read_page(reply->status, reply->body);
        if (page.status != fleet::store_status::done) {
            reason =
                fmt::format("the store {} answered with status {} and no listing", m_address, reply->status);
            return std::nullopt;
        }
        for (const auto& record : page.items) {
            take(record, contents);
        }
        if (!page.has_more || page.items.empty()) {
            return contents;
        }
        // A page that does not go on would be asked for without end.
        if (page.items.back().key == after) {
            reason = fmt::format("the store {} repeats a page of its listing", m_address);
            return std::nullopt;
        }
        after = page.items.back().key;
    }
}

} // namespace carawayway::cli
