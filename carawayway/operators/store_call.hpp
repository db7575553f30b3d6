// Wraps calls to a configuration store as coroutines.
#pragma once

#include "carawayway/store/config_store.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <string>
#include <utility>

namespace carawayway::operators {

// `start` starts the call with the given handler. The coroutine resumes inside the handler, on the store's
// executor.
template <class Result, class Start>
boost::asio::awaitable<Result> store_call(Start start) {
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>&, void(Result)>(
        [](auto handler, Start begin) {
            // Store handlers must be copyable, but the handler of a coroutine is move-only.
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            begin([shared](Result result) { std::move (*shared)(std::move(result)); });
        },
        boost::asio::use_awaitable, std::move(start));
}

template <store::config_store Store>
boost::asio::awaitable<store::range_result> read_key(Store& store, std::string key) {
    return store_call<store::range_result>([&store, key = std::move(key)](store::range_handler handler) {
        store.range(key, "", std::move(handler));
    });
}

template <store::config_store Store>
boost::asio::awaitable<store::write_result> write_key(Store& store, std::string key,
                                                      std::int64_t expected_revision, std::string value) {
    return store_call<store::write_result>([&store, key = std::move(key), expected_revision,
                                            value = std::move(value)](store::write_handler handler) {
        store.compare_and_swap(key, expected_revision, value, 0, std::move(handler));
    });
}

template <store::config_store Store>
boost::asio::awaitable<store::write_result> erase_key(Store& store, std::string key) {
    return store_call<store::write_result>([&store, key = std::move(key)](store::write_handler handler) {
        store.erase(key, std::move(handler));
    });
}

} // namespace carawayway::operators
