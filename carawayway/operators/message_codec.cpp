// Converts between JSON and binary with the FlatBuffers parser and the embedded schema.
#include "carawayway/operators/message_codec.hpp"

#include "carawayway/operators/operators_bfbs_generated.h"

#include <flatbuffers/idl.h>

#include <cassert>

namespace carawayway::operators {

namespace {

flatbuffers::IDLOptions parser_options() {
    flatbuffers::IDLOptions options;
    options.strict_json = true;
    options.skip_unexpected_fields_in_json = false;
    options.output_default_scalars_in_json = true;
    options.natural_utf8 = true;
    options.indent_step = 2;
    return options;
}

// A FlatBuffers parser with the schema. Each conversion uses a new one, since a parser keeps state after an
// error.
class schema_parser {
public:
    explicit schema_parser(const char* table) : m_parser(parser_options()) {
        const bool loaded = m_parser.Deserialize(schema::status_replyBinarySchema::data(),
                                                 schema::status_replyBinarySchema::size());
        const bool found = loaded && m_parser.SetRootType(table);
        assert(found);
        static_cast<void>(found);
    }

    flatbuffers::Parser& parser() { return m_parser; }

private:
    flatbuffers::Parser m_parser;
};

std::string first_line(const std::string& text) {
    return text.substr(0, text.find('\n'));
}

} // namespace

std::optional<std::vector<std::uint8_t>> json_to_binary(std::string_view json, const char* table,
                                                        base::failure& last_failure) {
    // The parser stops at a NUL byte and would ignore the rest of the text.
    if (json.find('\0') != std::string_view::npos) {
        last_failure = {base::error_kind::request_invalid, "the JSON text contains a NUL byte"};
        return std::nullopt;
    }
    schema_parser schema(table);
    auto& parser = schema.parser();
    const std::string text(json);
    if (!parser.ParseJson(text.c_str())) {
        last_failure = {base::error_kind::request_invalid, "invalid JSON: " + first_line(parser.error_)};
        return std::nullopt;
    }
    const auto* begin = parser.builder_.GetBufferPointer();
    return std::vector<std::uint8_t>(begin, begin + parser.builder_.GetSize());
}

std::optional<std::string> binary_to_json(std::span<const std::uint8_t> binary, const char* table,
                                          base::failure& last_failure) {
    schema_parser schema(table);
    std::string text;
    if (!flatbuffers::GenerateText(schema.parser(), binary.data(), &text)) {
        last_failure = {base::error_kind::request_invalid, "a string in the message is not valid UTF-8"};
        return std::nullopt;
    }
    return text;
}

} // namespace carawayway::operators
