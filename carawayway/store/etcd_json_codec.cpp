// Builds and parses the messages with Boost.JSON.
#include "carawayway/store/etcd_json_codec.hpp"

#include "carawayway/json/base64.hpp"

#include <boost/json.hpp>

#include <charconv>

namespace carawayway::store::etcd_json {

namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

constexpr std::size_t maximum_detail_bytes = 200;

std::string encode(std::string_view bytes) {
    return json::base64_encode(bytes);
}

// Reads the fields of a message and records whether any of them is invalid. An absent field has its default
// value, since the etcd gateway omits such fields.
class field_reader {
public:
    std::int64_t integer(const object& message, std::string_view name) {
        const value* field = message.if_contains(name);
        if (field == nullptr) {
            return 0;
        }
        if (const std::int64_t* number = field->if_int64()) {
            return *number;
        }
        std::int64_t parsed = 0;
        const boost::json::string* text = field->if_string();
        if (text == nullptr) {
            m_valid = false;
            return 0;
        }
        const char* const end = text->data() + text->size();
        const auto result = std::from_chars(text->data(), end, parsed);
        m_valid = m_valid && result.ec == std::errc{} && result.ptr == end;
        return parsed;
    }

    bool boolean(const object& message, std::string_view name) {
        const value* field = message.if_contains(name);
        if (field == nullptr) {
            return false;
        }
        m_valid = m_valid && field->is_bool();
        return field->is_bool() && field->get_bool();
    }

    std::string bytes(const object& message, std::string_view name) {
        const value* field = message.if_contains(name);
        if (field == nullptr) {
            return {};
        }
        const boost::json::string* text = field->if_string();
        auto decoded = text == nullptr ? std::nullopt : json::base64_decode(std::string_view(*text));
        m_valid = m_valid && decoded.has_value();
        return decoded.value_or(std::string{});
    }

    const object& child(const object& message, std::string_view name) {
        static const object empty;
        const value* field = message.if_contains(name);
        const object* found = field == nullptr ? nullptr : field->if_object();
        m_valid = m_valid && found != nullptr;
        return found == nullptr ? empty : *found;
    }

    const array& list(const object& message, std::string_view name) {
        static const array empty;
        const value* field = message.if_contains(name);
        const array* found = field == nullptr ? nullptr : field->if_array();
        m_valid = m_valid && (field == nullptr || found != nullptr);
        return found == nullptr ? empty : *found;
    }

    const object& element(const value& item) {
        static const object empty;
        m_valid = m_valid && item.is_object();
        return item.is_object() ? item.get_object() : empty;
    }

    std::int64_t revision(const object& message) { return integer(child(message, "header"), "revision"); }

    key_value item(const object& message) {
        key_value read;
        read.key = bytes(message, "key");
        read.value = bytes(message, "value");
        read.mod_revision = integer(message, "mod_revision");
        m_valid = m_valid && !read.key.empty() && read.mod_revision > 0;
        return read;
    }

    bool valid() const { return m_valid; }

private:
    bool m_valid = true;
};

std::optional<object> parse_object(std::string_view text) {
    boost::json::error_code error;
    value parsed = boost::json::parse({text.data(), text.size()}, error);
    if (error || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.get_object());
}

// Parses the text as a JSON object and calls `read` to fill the message from its fields.
template <class Message, class Read>
std::optional<Message> parse_message(std::string_view text, base::failure& last_failure, Read read) {
    const auto parsed = parse_object(text);
    field_reader reader;
    Message message;
    if (parsed) {
        read(reader, *parsed, message);
    }
    if (!parsed || !reader.valid()) {
        last_failure = {base::error_kind::store_unavailable, "invalid reply: " + error_detail(text)};
        return std::nullopt;
    }
    return message;
}

watch_event read_event(field_reader& reader, const object& message) {
    watch_event event;
    const value* type = message.if_contains("type");
    if (type != nullptr && type->is_string() && type->get_string() == "DELETE") {
        event.kind = watch_event_kind::erased;
    }
    event.item = reader.item(reader.child(message, "kv"));
    return event;
}

} // namespace

std::string range_request(std::string_view key, std::string_view range_end) {
    object message{{"key", encode(key)}};
    if (!range_end.empty()) {
        message["range_end"] = encode(range_end);
    }
    return boost::json::serialize(message);
}

std::string compare_and_swap_request(std::string_view key, std::int64_t expected_mod_revision,
                                     std::string_view new_value, std::int64_t lease_id) {
    const std::string encoded_key = encode(key);
    object comparison{{"key", encoded_key},
                      {"target", "MOD"},
                      {"result", "EQUAL"},
                      {"mod_revision", std::to_string(expected_mod_revision)}};
    object put{{"key", encoded_key}, {"value", encode(new_value)}};
    if (lease_id != 0) {
        put["lease"] = std::to_string(lease_id);
    }
    array comparisons;
    comparisons.emplace_back(std::move(comparison));
    array operations;
    operations.emplace_back(object{{"request_put", std::move(put)}});
    return boost::json::serialize(
        object{{"compare", std::move(comparisons)}, {"success", std::move(operations)}});
}

std::string erase_request(std::string_view key) {
    array operations;
    operations.emplace_back(object{{"request_delete_range", object{{"key", encode(key)}}}});
    return boost::json::serialize(object{{"success", std::move(operations)}});
}

std::string watch_request(std::string_view key, std::string_view range_end, std::int64_t start_revision) {
    object create{{"key", encode(key)}};
    if (!range_end.empty()) {
        create["range_end"] = encode(range_end);
    }
    if (start_revision != 0) {
        create["start_revision"] = std::to_string(start_revision);
    }
    return boost::json::serialize(object{{"create_request", std::move(create)}});
}

std::string lease_grant_request(std::int64_t seconds) {
    return boost::json::serialize(object{{"TTL", std::to_string(seconds)}});
}

std::string lease_request(std::int64_t id) {
    return boost::json::serialize(object{{"ID", std::to_string(id)}});
}

std::optional<range_reply> parse_range_reply(std::string_view body, base::failure& last_failure) {
    return parse_message<range_reply>(body, last_failure,
                                      [](field_reader& reader, const object& parsed, range_reply& reply) {
                                          reply.revision = reader.revision(parsed);
                                          for (const value& item : reader.list(parsed, "kvs")) {
                                              reply.values.push_back(reader.item(reader.element(item)));
                                          }
                                      });
}

std::optional<transaction_reply> parse_transaction_reply(std::string_view body, base::failure& last_failure) {
    return parse_message<transaction_reply>(
        body, last_failure, [](field_reader& reader, const object& parsed, transaction_reply& reply) {
            reply.revision = reader.revision(parsed);
            reply.succeeded = reader.boolean(parsed, "succeeded");
        });
}

std::optional<lease_reply> parse_lease_grant_reply(std::string_view body, base::failure& last_failure) {
    return parse_message<lease_reply>(body, last_failure,
                                      [](field_reader& reader, const object& parsed, lease_reply& reply) {
                                          reader.revision(parsed);
                                          reply.id = reader.integer(parsed, "ID");
                                          reply.seconds = reader.integer(parsed, "TTL");
                                      });
}

std::optional<lease_reply> parse_lease_keepalive_reply(std::string_view body, base::failure& last_failure) {
    return parse_message<lease_reply>(body, last_failure,
                                      [](field_reader& reader, const object& parsed, lease_reply& reply) {
                                          const object& result = reader.child(parsed, "result");
                                          reply.id = reader.integer(result, "ID");
                                          reply.seconds = reader.integer(result, "TTL");
                                      });
}

std::optional<watch_message> parse_watch_message(std::string_view line, base::failure& last_failure) {
    return parse_message<watch_message>(
        line, last_failure, [](field_reader& reader, const object& parsed, watch_message& message) {
            const object& result = reader.child(parsed, "result");
            message.created = reader.boolean(result, "created");
            message.canceled = reader.boolean(result, "canceled");
            message.compact_revision = reader.integer(result, "compact_revision");
            message.batch.revision = reader.revision(result);
            for (const value& event : reader.list(result, "events")) {
                message.batch.events.push_back(read_event(reader, reader.element(event)));
            }
        });
}

std::string error_detail(std::string_view body) {
    if (const auto parsed = parse_object(body)) {
        const value* message = parsed->if_contains("message");
        if (message != nullptr && message->is_string()) {
            return std::string(std::string_view(message->get_string()).substr(0, maximum_detail_bytes));
        }
    }
    return std::string(body.substr(0, maximum_detail_bytes));
}

} // namespace carawayway::store::etcd_json
