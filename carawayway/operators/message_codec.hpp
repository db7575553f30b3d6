// Encodes and decodes the messages of operators.fbs as JSON and as binary FlatBuffers. Decoding is safe for
// any bytes.
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

// `table` is the fully qualified name of the table in the schema. Fails with request_invalid if the text is
// not strict JSON or has fields that the table does not have.
std::optional<std::vector<std::uint8_t>> json_to_binary(std::string_view json, const char* table,
                                                        base::failure& last_failure);

// `binary` must be a verified message. Fails if a string is not valid UTF-8.
std::optional<std::string> binary_to_json(std::span<const std::uint8_t> binary, const char* table,
                                          base::failure& last_failure);

// `Message` is a type of messages.hpp. Returns nothing, and sets `last_failure`, if the bytes are not a valid
// message.
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
                        std::string("not a valid message of type ") + table::GetFullyQualifiedName()};
        return std::nullopt;
    }
    // Strings are part of JSON responses, but the verifier does not check that they are valid UTF-8.
    if (encoding == message_encoding::binary &&
        !binary_to_json(binary, table::GetFullyQualifiedName(), last_failure)) {
        return std::nullopt;
    }
    Message message;
    flatbuffers::GetRoot<table>(binary.data())->UnPackTo(&message);
    return message;
}

// Fails only for JSON, if a string is not valid UTF-8.
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
