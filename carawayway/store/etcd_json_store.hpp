// Client for a key-value store that speaks the etcd v3 HTTP/JSON gateway protocol.
#pragma once

#include "carawayway/store/config_store.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::store {

struct etcd_json_options {
    std::vector<std::string> addresses; // IP:PORT; tried in order, starting with the last that responded
    base::duration connect_timeout = std::chrono::milliseconds(500); // per address
    base::duration call_timeout = std::chrono::seconds(2);           // per call, over all addresses
    // A watch is closed as expired after this time, so that a connection that was lost without being closed
    // is replaced. Each new watch costs one billed call.
    base::duration watch_lifetime = std::chrono::seconds(60);
    std::size_t maximum_reply_bytes = std::size_t{2} * 1024 * 1024; // larger replies are rejected
};

// Satisfies config_store. All functions must be called on the executor's thread, or inside its strand;
// handlers run there. Each call opens its own connection: calls are rare, and a write on a reused connection
// that the store has just closed would have an unknown outcome.
class etcd_json_store {
public:
    etcd_json_store(boost::asio::any_io_executor executor, etcd_json_options options);

    etcd_json_store(const etcd_json_store&) = delete;
    etcd_json_store& operator=(const etcd_json_store&) = delete;
    etcd_json_store(etcd_json_store&&) = delete;
    etcd_json_store& operator=(etcd_json_store&&) = delete;
    ~etcd_json_store();

    // A read is retried at the next address after any failure.
    void range(std::string_view key, std::string_view range_end, range_handler handler);

    // A write is retried at the next address only if no connection could be opened. After that it is not
    // repeated, and its outcome may be unknown.
    void compare_and_swap(std::string_view key, std::int64_t expected_mod_revision, std::string_view value,
                          std::int64_t lease_id, write_handler handler);

    void erase(std::string_view key, write_handler handler);

    // The first batch has no events and reports that the watch is open.
    cancel_handle watch(std::string_view key, std::string_view range_end, std::int64_t start_revision,
                        watch_handler on_event, watch_closed_handler on_closed);

    // Rounds the time to live up to whole seconds.
    void grant_lease(base::duration time_to_live, lease_handler handler);
    // The outcome is `conflict` when the lease no longer exists.
    void keep_lease_alive(std::int64_t id, lease_handler handler);
    void revoke_lease(std::int64_t id, lease_handler handler);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation; // shared with running calls
};

static_assert(config_store<etcd_json_store>);

} // namespace carawayway::store
