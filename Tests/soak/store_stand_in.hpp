// Stand-in for the platform's key-value store, with injectable faults.
#pragma once

#include "Tests/soak/http_server.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawayway::soak {

enum class store_fault : std::uint8_t {
    none,
    hang,              // requests have no effect and get no response
    unavailable,       // requests get status 503
    writes_rejected,   // as for `unavailable`, but only requests that write or keep a lease
    reset,             // connections are reset before a request takes effect
    responses_lost,    // requests take effect, then the connection is reset
    history_compacted, // the history is compacted, so that watches get status 410
    slow,              // requests take effect after slow_time, except for watches
};

class store_stand_in {
public:
    explicit store_stand_in(boost::asio::io_context& context);

    std::string address() const { return m_listener.address(); }
    // Answers one call. Returns std::nullopt if its connection is to be reset.
    boost::asio::awaitable<std::optional<http_response>> handle(http_request request);
    void set_fault(store_fault fault);

    // Writes a value on behalf of operators or servers. The value is stored in base64.
    void put(const std::string& key, const boost::json::object& value);
    void put_bytes(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    // Replaces the contents by those of `age` ago, or the oldest copy. Revisions are given out again, leases
    // granted since are gone, and watches end. Operators and servers write again what they have written after
    // `rewrite_delay`.
    void restore_copy(std::chrono::milliseconds age, std::chrono::milliseconds rewrite_delay);

    // Number of keys with this prefix.
    std::size_t count(const std::string& prefix) const;

private:
    struct stored_item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    struct stored_change {
        std::string key;
        std::int64_t revision = 0;
        bool deleted = false;
    };
    struct lease_state {
        std::chrono::steady_clock::time_point expires_at;
        std::chrono::milliseconds lifetime{};
    };

    // The contents at one time.
    struct copy {
        std::chrono::steady_clock::time_point taken_at;
        std::map<std::string, stored_item> items;
        std::map<std::int64_t, lease_state> leases;
        std::int64_t revision = 0;
    };

    boost::asio::awaitable<std::optional<http_response>> answer(http_request request);
    boost::asio::awaitable<void> write_again(std::chrono::milliseconds delay);
    void take_copy();
    http_response execute(const http_request& request, const std::string& path,
                          const std::map<std::string, std::string>& query);
    boost::asio::awaitable<std::optional<http_response>> watch(std::map<std::string, std::string> query);
    boost::asio::awaitable<void> expire_leases();
    http_response list_items(const std::string& after) const;
    http_response transact(const std::string& body);
    void write(const std::string& key, const std::string& value, std::int64_t lease);
    void remove_lease(std::int64_t id);
    void notify_watches();

    boost::asio::any_io_executor m_executor;
    std::map<std::string, stored_item> m_items;
    std::vector<stored_change> m_changes;
    std::int64_t m_compacted_revision = 0; // changes up to this revision are no longer available
    std::map<std::int64_t, lease_state> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_last_lease = 0;
    std::int64_t m_era = 1;
    std::deque<copy> m_copies; // of the last seconds
    // What operators and servers have last written; no value for a key that they have removed.
    std::map<std::string, std::optional<std::string>> m_external_writes;
    store_fault m_fault = store_fault::none;
    std::set<boost::asio::steady_timer*> m_waiting_watches;
    http_server m_listener;
};

} // namespace carawayway::soak
