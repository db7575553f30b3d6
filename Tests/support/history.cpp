// Parses recorded histories.
#include "Tests/support/history.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <system_error>

namespace carawayway::test_support {

namespace {

// Fields of one line. A missing or malformed field makes the whole record invalid.
class record_fields {
public:
    explicit record_fields(std::string_view line) : m_rest(line) { parse(); }

    bool valid() const { return m_valid; }

    std::string text(std::string_view key) {
        const auto found = m_fields.find(key);
        if (found == m_fields.end()) {
            m_valid = false;
            return {};
        }
        return std::string{found->second};
    }

    template <class Number>
    Number number(std::string_view key) {
        const std::string digits = text(key);
        Number value{};
        const char* end = digits.data() + digits.size();
        const auto [stop, error] = std::from_chars(digits.data(), end, value);
        m_valid = m_valid && error == std::errc{} && stop == end;
        return value;
    }

    // Looks up the text of the field in `names`.
    template <class Value>
    Value choice(std::string_view key, const std::map<std::string_view, Value>& names) {
        const std::string name = text(key);
        const auto found = names.find(name);
        m_valid = m_valid && found != names.end();
        return found == names.end() ? Value{} : found->second;
    }

private:
    void parse() {
        m_valid = take('{');
        while (m_valid && !take('}')) {
            m_valid = m_fields.empty() || take(',');
            const auto key = take_string();
            m_valid = m_valid && take(':');
            m_fields[key] = !m_rest.empty() && m_rest.front() == '"' ? take_string() : take_number();
        }
        m_valid = m_valid && m_rest.empty();
    }

    bool take(char expected) {
        if (m_rest.empty() || m_rest.front() != expected) {
            return false;
        }
        m_rest.remove_prefix(1);
        return true;
    }

    std::string_view take_string() {
        m_valid = m_valid && take('"');
        const auto end = m_rest.find('"');
        if (end == std::string_view::npos) {
            m_valid = false;
            return {};
        }
        const auto value = m_rest.substr(0, end);
        m_rest.remove_prefix(end + 1);
        return value;
    }

    std::string_view take_number() {
        const auto value = m_rest.substr(0, m_rest.find_first_not_of("-0123456789"));
        m_valid = m_valid && !value.empty();
        m_rest.remove_prefix(value.size());
        return value;
    }

    std::string_view m_rest;
    std::map<std::string_view, std::string_view> m_fields;
    bool m_valid = true;
};

using field_reader = event_content (*)(record_fields&);

const std::map<std::string_view, config::request_semantics> semantics_names{
    {"idempotent", config::request_semantics::idempotent},
    {"non-idempotent", config::request_semantics::non_idempotent}};

const std::map<std::string_view, base::execution_state> execution_names{
    {"executed", base::execution_state::executed},
    {"not-executed", base::execution_state::not_executed},
    {"unknown", base::execution_state::unknown}};

const std::map<std::string_view, field_reader> readers{
    {"caller_sent",
     [](record_fields& fields) -> event_content {
         return caller_sent{fields.text("id"), fields.number<body_hash>("content"),
                            fields.choice("semantics", semantics_names)};
     }},
    {"caller_answered",
     [](record_fields& fields) -> event_content {
         return caller_answered{fields.text("id"), fields.number<body_hash>("content"),
                                fields.choice("execution", execution_names),
                                fields.number<body_hash>("body")};
     }},
    {"execution_started",
     [](record_fields& fields) -> event_content {
         return execution_started{fields.text("id"), fields.text("server"), fields.text("region"),
                                  fields.number<body_hash>("content")};
     }},
    {"execution_finished",
     [](record_fields& fields) -> event_content {
         return execution_finished{fields.text("id"), fields.text("server"),
                                   fields.number<body_hash>("body")};
     }},
    {"execution_cancelled",
     [](record_fields& fields) -> event_content {
         return execution_cancelled{fields.text("id"), fields.text("server")};
     }},
    {"server_stopped",
     [](record_fields& fields) -> event_content { return server_stopped{fields.text("server")}; }},
    {"drain_effective",
     [](record_fields& fields) -> event_content { return drain_effective{fields.text("server")}; }},
    {"drain_ended",
     [](record_fields& fields) -> event_content { return drain_ended{fields.text("server")}; }},
    {"revision_seen",
     [](record_fields& fields) -> event_content {
         return revision_seen{fields.text("entry"), fields.number<std::uint64_t>("incarnation"),
                              fields.number<std::int64_t>("revision")};
     }},
    {"request_moved",
     [](record_fields& fields) -> event_content {
         return request_moved{fields.text("service"), fields.text("home_region"),
                              fields.text("serving_region")};
     }},
    {"request_arrived",
     [](record_fields& fields) -> event_content {
         return request_arrived{fields.text("service"), fields.text("home_region")};
     }},
};

std::optional<event> read_event(std::string_view line) {
    record_fields fields(line);
    const auto reader = readers.find(fields.text("event"));
    if (!fields.valid() || reader == readers.end()) {
        return std::nullopt;
    }
    event result{base::time_point{base::duration{fields.number<std::int64_t>("time_ns")}},
                 reader->second(fields)};
    return fields.valid() ? std::optional<event>{std::move(result)} : std::nullopt;
}

} // namespace

std::optional<history> read_history(std::string_view lines, base::failure& last_failure) {
    history result;
    for (std::size_t number = 1; !lines.empty(); ++number) {
        const auto line = lines.substr(0, lines.find('\n'));
        lines.remove_prefix(std::min(lines.size(), line.size() + 1));
        if (line.empty()) {
            continue;
        }
        auto read = read_event(line);
        if (!read) {
            last_failure = {base::error_kind::frame_invalid,
                            fmt::format("invalid record in line {}", number)};
            return std::nullopt;
        }
        result.push_back(std::move(*read));
    }
    return result;
}

} // namespace carawayway::test_support
