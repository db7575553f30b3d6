// Messages of operators.fbs as JSON text and as binary FlatBuffers. Decoding takes any bytes.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/operators/messages.hpp"

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::operators {

enum class message_encoding : std::uint8_t { json, binary };

// `table` is the full name of the table in the schema. Refused with request_invalid: text that is not strict
// JSON, and fields that the table does not have.
std::optional<std::vector<std::uint8_t>> json_to_binary(std::string_view json, const char* table,
                                                        base::failure& last_failure);

// The bytes must be a verified message. Fails for strings that are not UTF-8.
std::optional<std::string> binary_to_json(std::span<const std::uint8_t> binary, const char* table,
                                          base::failure& last_failure);

// An empty optional with the reason when the bytes are not such a message. `Message` is one of messages.hpp.
template <class Message>
std::optional<Message> decode(std::string_view bytes, message_encoding encoding,
                              base::failure& last_failure) {
    using table = typename Message::TableType;
    std::vector<std::uint8_t> binary(bytes.begin(), bytes.end());
    if (encoding == message_encoding::json) {
        auto converted = json_to_binary(bytes, table::GetFullyQualifiedName(), last_failure);
        if (!converted) {
            return std::nullopt;
        }
        binary = std::move(*converted);
    }
    flatbuffers::Verifier verifier(binary.data(), binary.size());
    if (!verifier.VerifyBuffer<table>(nullptr)) {
        last_failure = {base::error_kind::request_invalid,
                        std::string("not a message ") + table::GetFullyQualifiedName()};
        return std::nullopt;
    }
    // Strings go into JSON answers, and the verifier does not check that they are UTF-8.
    if (encoding == message_encoding::binary &&
        !binary_to_json(binary, table::GetFullyQualifiedName(), last_failure)) {
        return std::nullopt;
    }
    Message message;
    flatbuffers::GetRoot<table>(binary.data())->UnPackTo(&message);
    return message;
}

// Fails only for JSON, when a string is not UTF-8.
template <class Message>
std::optional<std::string> encode(const Message& message, message_encoding encoding,
                                  base::failure& last_failure) {
    using table = typename Message::TableType;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(table::Pack(builder, &message));
    const std::span<const std::uint8_t> binary(builder.GetBufferPointer(), builder.GetSize());
    if (encoding == message_encoding::json) {
        return binary_to_json(binary, table::GetFullyQualifiedName(), last_failure);
    }
    return std::string(binary.begin(), binary.end());
}

} // namespace carawayway::operators
