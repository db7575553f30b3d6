// Describes the known sections and keys of settings and policy files. The readers, the validator and the
// reference documentation all use these tables.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace carawayway::config {

enum class document_kind : std::uint8_t { entry_settings, policy, gateway_settings };

enum class value_kind : std::uint8_t {
    name,
    name_list,
    token,
    text,
    file_path,
    store_key,
    integer,
    real,
    milliseconds,
    semantics,
    state,
    log_level,
    listen_address,
    remote_address,
    remote_address_list,
};

enum class requirement_level : std::uint8_t { required, optional };
enum class section_naming : std::uint8_t { single, named };  // "[entry]" or "[peer NAME]"
enum class section_keys : std::uint8_t { listed, prefixes }; // prefixes: each key is an address prefix

struct section_description {
    document_kind document;
    std::string_view section;
    section_naming naming;
    section_keys keys;
    requirement_level requirement; // optional for named sections
    std::string_view description;
};

struct key_description {
    document_kind document;
    std::string_view section;
    std::string_view key;
    value_kind kind;
    std::string_view unit; // of integers and reals; empty if there is none
    requirement_level requirement;
    std::string_view default_value; // as written in a file; empty: no default, or an empty list or text
    double minimum;                 // of integers, reals and milliseconds
    double maximum;                 // inclusive, like `minimum`
    std::string_view description;
};

inline constexpr std::string_view prefix_placeholder = "PREFIX"; // stands for the keys of [client_blocks]

std::span<const section_description> known_sections();
std::span<const key_description> known_keys();

// Each returns null if the section or key is unknown.
const section_description* find_section(document_kind document, std::string_view section);
const key_description* find_key(document_kind document, std::string_view section, std::string_view key);

// Describes the valid values of the key as a noun phrase, for example "an integer from 1 to 1024 (requests)".
std::string expected_value(const key_description& key);

// Renders the reference of all sections and keys as Markdown tables.
std::string key_reference_markdown();

} // namespace carawayway::config
