// Encodes and decodes the JSON messages of the etcd v3 gateway: int64 as strings, bytes as base64, default
// values omitted.
#include "stand_ins/platform/key_value_api.hpp"

#include "carawayway/json/base64.hpp"

#include <boost/json.hpp>

#include <charconv>

namespace stand_ins {

namespace json = boost::json;

namespace {

constexpr int grpc_invalid_argument = 3;
constexpr int grpc_not_found = 5;
constexpr std::size_t maximum_value_bytes = std::size_t{1024} * 1024;

std::string bytes_field(const json::object& message, std::string_view name) {
    const json::value* field = message.if_contains(name);
    if (field == nullptr) {
        return {};
    }
    const json::string* text = field->if_string();
    auto decoded = text == nullptr ? std::nullopt : carawayway::json::base64_decode(std::string_view(*text));
    if (!decoded) {
        throw request_error(grpc_invalid_argument, "illegal base64 data");
    }
    return *std::move(decoded);
}

std::int64_t integer_field(const json::object& message, std::string_view name) {
    const json::value* field = message.if_contains(name);
    if (field == nullptr) {
        return 0;
    }
    if (const std::int64_t* number = field->if_int64()) {
        return *number;
    }
    std::int64_t parsed = 0;
    const json::string* text = field->if_string();
    if (text == nullptr ||
        std::from_chars(text->data(), text->data() + text->size(), parsed).ec != std::errc{}) {
        throw request_error(grpc_invalid_argument, "invalid integer");
    }
    return parsed;
}

bool flag_field(const json::object& message, std::string_view name) {
    const json::value* field = message.if_contains(name);
    return field != nullptr && field->is_bool() && field->get_bool();
}

std::string name_field(const json::object& message, std::string_view name, std::string_view default_name) {
    const json::value* field = message.if_contains(name);
    const json::string* text = field == nullptr ? nullptr : field->if_string();
    return std::string(text == nullptr ? default_name : std::string_view(*text));
}

const json::object& object_field(const json::object& message, std::string_view name) {
    const json::value* field = message.if_contains(name);
    if (field == nullptr || !field->is_object()) {
        throw request_error(grpc_invalid_argument, "missing object");
    }
    return field->get_object();
}

json::array array_field(const json::object& message, std::string_view name) {
    const json::value* field = message.if_contains(name);
    return field == nullptr || !field->is_array() ? json::array{} : field->get_array();
}

key_range range_field(const json::object& message) {
    key_range range{bytes_field(message, "key"), bytes_field(message, "range_end")};
    if (range.first.empty()) {
        throw request_error(grpc_invalid_argument, "etcdserver: key is not provided");
    }
    return range;
}

json::object key_value_object(const std::string& key, const stored_value& stored, bool keys_only) {
    json::object object{{"key", carawayway::json::base64_encode(key)},
                        {"mod_revision", std::to_string(stored.mod_revision)}};
    if (stored.version != 0) {
        object["create_revision"] = std::to_string(stored.create_revision);
        object["version"] = std::to_string(stored.version);
    }
    if (!keys_only && !stored.value.empty()) {
        object["value"] = carawayway::json::base64_encode(stored.value);
    }
    if (stored.lease != 0) {
        object["lease"] = std::to_string(stored.lease);
    }
    return object;
}

bool comparison_holds(std::string_view relation, std::strong_ordering order) {
    if (relation == "EQUAL") {
        return order == std::strong_ordering::equal;
    }
    if (relation == "NOT_EQUAL") {
        return order != std::strong_ordering::equal;
    }
    if (relation == "GREATER") {
        return order == std::strong_ordering::greater;
    }
    if (relation == "LESS") {
        return order == std::strong_ordering::less;
    }
    throw request_error(grpc_invalid_argument, "unknown comparison result");
}

} // namespace

json::object key_value_api::header() const {
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(m_store.revision())},
            {"raft_term", "1"}};
}

json::object key_value_api::range(const json::object& message) const {
    const key_range range = range_field(message);
    const std::int64_t limit = integer_field(message, "limit");
    const bool keys_only = flag_field(message, "keys_only");
    const auto& keys = m_store.visible();
    json::array found;
    std::int64_t count = 0;
    for (auto position = keys.lower_bound(range.first);
         position != keys.end() && range.contains(position->first); ++position) {
        ++count;
        if (limit == 0 || count <= limit) {
            found.push_back(key_value_object(position->first, position->second, keys_only));
        }
    }
    json::object reply{{"header", header()}};
    if (limit != 0 && count > limit) {
        reply["more"] = true;
    }
    if (count > 0) {
        reply["count"] = std::to_string(count);
        reply["kvs"] = std::move(found);
    }
    return reply;
}

std::function<json::object()> key_value_api::prepare_put(const json::object& message) {
    std::string key = range_field(message).first;
    std::string value = bytes_field(message, "value");
    const std::int64_t lease = integer_field(message, "lease");
    if (value.size() > maximum_value_bytes) {
        throw request_error(grpc_invalid_argument, "etcdserver: request is too large");
    }
    if (lease != 0 && !m_store.lease_exists(lease)) {
        throw request_error(grpc_not_found, "etcdserver: requested lease not found");
    }
    return [this, key = std::move(key), value = std::move(value), lease]() -> json::object {
        m_store.put(key, value, lease);
        return {{"response_put", json::object{}}};
    };
}

std::function<json::object()> key_value_api::prepare_operation(const json::object& message) {
    if (message.contains("request_put")) {
        return prepare_put(object_field(message, "request_put"));
    }
    if (message.contains("request_delete_range")) {
        return [this, range = range_field(object_field(message, "request_delete_range"))]() -> json::object {
            const std::string deleted = std::to_string(m_store.erase(range));
            return {{"response_delete_range", json::object{{"deleted", deleted}}}};
        };
    }
    // Reads return the state before the transaction. This suffices because the clients of this stand-in read
    // only when a comparison fails.
    json::object response{{"response_range", range(object_field(message, "request_range"))}};
    return [response = std::move(response)] { return response; };
}

json::object key_value_api::put(const json::object& message, time_point now) {
    const auto operation = prepare_put(message);
    m_store.begin_change();
    operation();
    m_store.commit_change(now);
    return {{"header", header()}};
}

json::object key_value_api::delete_range(const json::object& message, time_point now) {
    const key_range range = range_field(message);
    m_store.begin_change();
    const std::int64_t erased = m_store.erase(range);
    m_store.commit_change(now);
    json::object reply{{"header", header()}};
    if (erased != 0) {
        reply["deleted"] = std::to_string(erased);
    }
    return reply;
}

bool key_value_api::compare(const json::object& comparison) const {
    const auto found = m_store.current().find(range_field(comparison).first);
    const stored_value stored = found == m_store.current().end() ? stored_value{} : found->second;
    const std::string relation = name_field(comparison, "result", "EQUAL");
    const std::string target = name_field(comparison, "target", "VERSION");
    if (target == "VALUE") {
        // A value comparison with a key that does not exist is always false.
        return stored.version != 0 &&
               comparison_holds(relation, stored.value <=> bytes_field(comparison, "value"));
    }
    if (target == "MOD") {
        return comparison_holds(relation, stored.mod_revision <=> integer_field(comparison, "mod_revision"));
    }
    if (target == "CREATE") {
        return comparison_holds(relation,
                                stored.create_revision <=> integer_field(comparison, "create_revision"));
    }
    if (target == "VERSION") {
        return comparison_holds(relation, stored.version <=> integer_field(comparison, "version"));
    }
    throw request_error(grpc_invalid_argument, "unknown comparison target");
}

json::object key_value_api::transaction(const json::object& message, time_point now) {
    bool succeeded = true;
    for (const json::value& comparison : array_field(message, "compare")) {
        succeeded = compare(comparison.as_object()) && succeeded;
    }
    // Validates all operations before the first one is executed.
    std::vector<std::function<json::object()>> operations;
    for (const json::value& operation : array_field(message, succeeded ? "success" : "failure")) {
        operations.push_back(prepare_operation(operation.as_object()));
    }
    json::array responses;
    m_store.begin_change();
    for (const auto& operation : operations) {
        responses.push_back(json::value(operation()));
    }
    m_store.commit_change(now);
    json::object reply{{"header", header()}};
    if (succeeded) {
        reply["succeeded"] = true;
    }
    if (!responses.empty()) {
        reply["responses"] = std::move(responses);
    }
    return reply;
}

json::object key_value_api::grant_lease(const json::object& message, time_point now) {
    const std::int64_t seconds = integer_field(message, "TTL");
    if (seconds <= 0) {
        throw request_error(grpc_invalid_argument, "etcdserver: invalid lease TTL");
    }
    const std::int64_t id =
        m_store.grant_lease(integer_field(message, "ID"), std::chrono::seconds(seconds), now);
    return {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(seconds)}};
}

json::object key_value_api::keep_lease_alive(const json::object& message, time_point now) {
    const std::int64_t id = integer_field(message, "ID");
    json::object result{{"header", header()}, {"ID", std::to_string(id)}};
    // A reply without a TTL means that the lease does not exist.
    if (const auto time_to_live = m_store.keep_lease_alive(id, now)) {
        result["TTL"] =
            std::to_string(std::chrono::duration_cast<std::chrono::seconds>(*time_to_live).count());
    }
    return {{"result", std::move(result)}};
}

json::object key_value_api::revoke_lease(const json::object& message, time_point now) {
    if (!m_store.revoke_lease(integer_field(message, "ID"), now)) {
        throw request_error(grpc_not_found, "etcdserver: requested lease not found");
    }
    return {{"header", header()}};
}

watch_request key_value_api::watch(const json::object& message) const {
    const json::object& create = object_field(message, "create_request");
    return {range_field(create), integer_field(create, "start_revision")};
}

json::object key_value_api::watch_events(const std::vector<store_event>& events) const {
    json::array list;
    for (const store_event& event : events) {
        json::object object{{"kv", key_value_object(event.key, event.value, false)}};
        if (event.type == event_type::erased) {
            object["type"] = "DELETE";
        }
        list.push_back(std::move(object));
    }
    return {{"result", json::object{{"header", header()}, {"events", std::move(list)}}}};
}

} // namespace stand_ins
