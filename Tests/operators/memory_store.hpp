// An in-memory store with failures that a test injects at an exact call.
#pragma once

#include "carawayway/store/config_store.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace carawayway::operators {

class memory_store {
public:
    explicit memory_store(boost::asio::any_io_executor executor) : m_executor(std::move(executor)) {}

    void range(std::string_view key, std::string_view, store::range_handler handler) {
        store::range_result result;
        if (reads_available) {
            result = {store::read_outcome::answered, {}, revision, {}};
            if (const auto found = values.find(std::string(key)); found != values.end()) {
                result.values.push_back(found->second);
            }
        }
        deliver(std::move(handler), std::move(result));
    }

    void compare_and_swap(std::string_view key, std::int64_t expected, std::string_view value, std::int64_t,
                          store::write_handler handler) {
        if (intercept_next_write) {
            deliver(std::move(handler),
                    std::exchange(intercept_next_write, nullptr)(std::string(key), std::string(value)));
            return;
        }
        deliver(std::move(handler), write(std::string(key), expected, std::string(value)));
    }

    void erase(std::string_view key, store::write_handler handler) {
        values.erase(std::string(key));
        deliver(std::move(handler), store::write_result{store::write_outcome::written, ++revision, {}});
    }

    store::cancel_handle watch(std::string_view, std::string_view, std::int64_t, const store::watch_handler&,
                               const store::watch_closed_handler&) {
        return {};
    }
    void grant_lease(base::duration, const store::lease_handler&) {}
    void keep_lease_alive(std::int64_t, const store::lease_handler&) {}
    void revoke_lease(std::int64_t, const store::lease_handler&) {}

    store::write_result write(const std::string& key, std::int64_t expected, std::string value) {
        const auto found = values.find(key);
        if ((found == values.end() ? 0 : found->second.mod_revision) != expected) {
            return {store::write_outcome::conflict, revision, {}};
        }
        ++writes[key];
        values[key] = {key, std::move(value), ++revision};
        return {store::write_outcome::written, revision, {}};
    }

    std::map<std::string, store::key_value> values;
    std::map<std::string, int> writes; // number of writes by key
    std::int64_t revision = 1;
    bool reads_available = true;
    // If set, replaces the next write and returns its result.
    std::function<store::write_result(const std::string& key, const std::string& value)> intercept_next_write;

private:
    template <class Handler, class Result>
    void deliver(Handler handler, Result result) {
        boost::asio::post(m_executor,
                          [handler = std::move(handler), result = std::move(result)] { handler(result); });
    }

    boost::asio::any_io_executor m_executor;
};

static_assert(store::config_store<memory_store>);

} // namespace carawayway::operators
