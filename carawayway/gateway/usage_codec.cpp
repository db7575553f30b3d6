// FlatBuffers encoding of reports and grants.
#include "carawayway/gateway/usage_codec.hpp"

#include "carawayway/wire/relay_generated.h"

#include <algorithm>
#include <cmath>

namespace carawayway::gateway {

namespace schema = carawayway::wire::relay;

namespace {

template <class Offset>
std::string finished(flatbuffers::FlatBufferBuilder& builder, schema::Body kind, Offset body) {
    builder.Finish(schema::CreateMessage(builder, kind, body.Union()));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

// More requests than any quota has, far from where a double loses whole numbers.
constexpr double largest_number = 1e12;

bool is_count(double number) {
    return number >= 0.0 && number <= largest_number; // false for what is no number
}

bool is_part(double number) {
    return number >= 0.0 && number <= 1.0;
}

usage_message read_report(const schema::UsageReport& source) {
    accounts::usage_report report{source.gateway()->str(), source.session(), source.sequence(), {}};
    for (const auto* const item : *source.accounts()) {
        if (!is_count(item->spent()) || !is_count(std::abs(item->held())) || !is_count(item->demand())) {
            return {};
        }
        report.accounts.push_back({item->account(), item->spent(), item->held(), item->demand()});
    }
    return report;
}

usage_message read_reply(const schema::UsageReply& source) {
    accounts::usage_reply reply{source.session(), source.sequence(), {}};
    for (const auto* const item : *source.grants()) {
        const accounts::quota_grant grant{item->account(), item->granted(), item->advance(), item->share(),
                                          item->admitted_part()};
        if (!is_count(grant.granted) || !is_count(grant.advance) || !is_part(grant.share) ||
            !is_part(grant.admitted_part)) {
            return {};
        }
        reply.grants.push_back(grant);
    }
    return reply;
}

} // namespace

std::string encode(const accounts::usage_report& report) {
    std::vector<schema::AccountUsage> items;
    std::transform(report.accounts.begin(), report.accounts.end(), std::back_inserter(items),
                   [](const accounts::account_usage& usage) {
                       return schema::AccountUsage(usage.account, usage.spent, usage.held, usage.demand);
                   });
    flatbuffers::FlatBufferBuilder builder;
    return finished(builder, schema::Body::UsageReport,
                    schema::CreateUsageReportDirect(builder, report.gateway.c_str(), report.session,
                                                    report.sequence, &items));
}

std::string encode(const accounts::usage_reply& reply) {
    std::vector<schema::QuotaGrant> items;
    std::transform(reply.grants.begin(), reply.grants.end(), std::back_inserter(items),
                   [](const accounts::quota_grant& grant) {
                       return schema::QuotaGrant(grant.account, grant.granted, grant.advance, grant.share,
                                                 grant.admitted_part);
                   });
    flatbuffers::FlatBufferBuilder builder;
    return finished(builder, schema::Body::UsageReply,
                    schema::CreateUsageReplyDirect(builder, reply.session, reply.sequence, &items));
}

usage_message decode_usage_message(std::span<const std::byte> payload) {
    const auto* const bytes = reinterpret_cast<const std::uint8_t*>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size());
    if (!schema::VerifyMessageBuffer(verifier)) {
        return {};
    }
    const auto* const message = schema::GetMessage(bytes);
    if (const auto* const report = message->body_as_UsageReport()) {
        return read_report(*report);
    }
    if (const auto* const reply = message->body_as_UsageReply()) {
        return read_reply(*reply);
    }
    return {};
}

} // namespace carawayway::gateway
