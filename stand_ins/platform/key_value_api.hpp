// Translates the JSON messages of the etcd v3 gateway into operations on the versioned store.
#pragma once

#include "stand_ins/platform/versioned_store.hpp"

#include <boost/json/object.hpp>

#include <functional>
#include <stdexcept>
#include <string_view>

namespace stand_ins {

// Thrown for a request that the store rejects. Answered with status 400 and a gRPC status code.
class request_error : public std::runtime_error {
public:
    request_error(int grpc_code, const char* message) : std::runtime_error(message), m_code(grpc_code) {}

    int code() const { return m_code; }

private:
    int m_code;
};

// Parameters of a watch, from its create_request.
struct watch_request {
    key_range range;
    std::int64_t start_revision = 0; // 0: only future events

    bool operator==(const watch_request&) const = default;
};

class key_value_api {
public:
    explicit key_value_api(versioned_store& store) : m_store(store) {}

    // These functions execute one call each. They throw request_error when the message is invalid.
    boost::json::object range(const boost::json::object& message) const;
    boost::json::object put(const boost::json::object& message, time_point now);
    boost::json::object delete_range(const boost::json::object& message, time_point now);
    boost::json::object transaction(const boost::json::object& message, time_point now);
    boost::json::object grant_lease(const boost::json::object& message, time_point now);
    boost::json::object keep_lease_alive(const boost::json::object& message, time_point now);
    boost::json::object revoke_lease(const boost::json::object& message, time_point now);
    watch_request watch(const boost::json::object& message) const;

    boost::json::object header() const;
    // Encodes the events as one message of a watch stream.
    boost::json::object watch_events(const std::vector<store_event>& events) const;

private:
    bool compare(const boost::json::object& comparison) const;
    // Validate an operation. The returned function executes it and returns the response.
    std::function<boost::json::object()> prepare_put(const boost::json::object& message);
    std::function<boost::json::object()> prepare_operation(const boost::json::object& message);

    versioned_store& m_store;
};

} // namespace stand_ins
