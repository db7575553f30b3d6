// FlatBuffers encoding of the replication messages. The schema calls a store record a fact.
#include "carawayway/fleet/replication_codec.hpp"

#include "carawayway/wire/relay_generated.h"

#include <algorithm>

namespace carawayway::fleet {

namespace {

namespace schema = carawayway::wire::relay;

std::string finish(flatbuffers::FlatBufferBuilder& builder, schema::Body kind,
                   flatbuffers::Offset<void> body) {
    builder.Finish(schema::CreateMessage(builder, kind, body));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

// Null when the payload is not a valid message.
const schema::Message* verified_message(std::span<const std::byte> payload) {
    const auto* const bytes = reinterpret_cast<const std::uint8_t*>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size());
    return schema::VerifyMessageBuffer(verifier) ? schema::GetMessage(bytes) : nullptr;
}

std::uint32_t to_wire(std::chrono::milliseconds value) {
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, UINT32_MAX));
}

store_record read_record(const schema::Fact& from) {
    store_record record{from.key()->str(), {}, {from.revision(), from.era()}, from.erased()};
    if (const auto* const value = from.value()) {
        record.value.assign(reinterpret_cast<const char*>(value->data()), value->size());
    }
    return record;
}

} // namespace

std::string encode(const replication_request& request) {
    flatbuffers::FlatBufferBuilder builder;
    const auto body = schema::CreateFactRequest(builder, request.revision.number, to_wire(request.wait),
                                                request.revision.era);
    return finish(builder, schema::Body::FactRequest, body.Union());
}

std::string encode(const replication_reply& reply) {
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<schema::Fact>> facts;
    facts.reserve(reply.records.size());
    for (const auto& record : reply.records) {
        const auto key = builder.CreateString(record.key);
        const auto value = builder.CreateVector(reinterpret_cast<const std::uint8_t*>(record.value.data()),
                                                record.value.size());
        facts.push_back(schema::CreateFact(builder, key, value, record.revision.number, record.erased,
                                           record.revision.era));
    }
    const auto list = builder.CreateVector(facts);
    const auto body =
        schema::CreateFactReply(builder, reply.revision.number, reply.complete, list, reply.watches_store,
                                to_wire(reply.time_since_failure), reply.revision.era);
    return finish(builder, schema::Body::FactReply, body.Union());
}

std::optional<replication_request> decode_request(std::span<const std::byte> payload) {
    const auto* const message = verified_message(payload);
    const auto* const body = message == nullptr ? nullptr : message->body_as_FactRequest();
    if (body == nullptr) {
        return std::nullopt;
    }
    return replication_request{{body->revision(), body->era()}, std::chrono::milliseconds{body->wait_ms()}};
}

std::optional<replication_reply> decode_reply(std::span<const std::byte> payload) {
    const auto* const message = verified_message(payload);
    const auto* const body = message == nullptr ? nullptr : message->body_as_FactReply();
    // Without a list, a complete reply would mean that the store is empty.
    if (body == nullptr || body->facts() == nullptr) {
        return std::nullopt;
    }
    replication_reply reply{{body->revision(), body->era()},
                            body->complete(),
                            {},
                            body->watches_store(),
                            std::chrono::milliseconds{body->undisturbed_ms()}};
    for (const auto* const record : *body->facts()) {
        reply.records.push_back(read_record(*record));
    }
    return reply;
}

} // namespace carawayway::fleet
