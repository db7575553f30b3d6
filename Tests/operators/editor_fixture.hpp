// A fixture that runs coroutines to completion, and sample policies to edit.
#pragma once

#include "Tests/config/sample_policy.hpp"
#include "carawayway/config/policy_writer.hpp"
#include "carawayway/operators/policy_editor.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <exception>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace carawayway::operators {

// A valid policy document with the given change ID and comment.
inline std::string sample_document(const std::string& change_id,
                                   const std::string& comment = "made by a test") {
    auto policy = config::sample_policy();
    policy.change_id = change_id;
    policy.comment = comment;
    policy.draining_entries.clear();
    return config::to_ini(policy);
}

inline apply_policy_request apply_request(std::string policy, std::int64_t expected_revision) {
    apply_policy_request request;
    request.policy = std::move(policy);
    request.expected_revision = expected_revision;
    return request;
}

inline std::int64_t test_clock() {
    return 1;
}

class coroutine_test : public testing::Test {
protected:
    void run_until(const std::function<bool()>& done) {
        context.restart();
        while (!done()) {
            if (context.run_one() == 0) {
                throw std::logic_error("the event loop has no work left before the condition is met");
            }
        }
    }

    template <class Result>
    void start(boost::asio::awaitable<Result> operation, std::optional<Result>& result) {
        boost::asio::co_spawn(context, std::move(operation),
                              [&result](const std::exception_ptr& error, Result given) {
                                  if (error) {
                                      std::rethrow_exception(error);
                                  }
                                  result = std::move(given);
                              });
    }

    template <class Result>
    Result run(boost::asio::awaitable<Result> operation) {
        std::optional<Result> result;
        start(std::move(operation), result);
        run_until([&result] { return result.has_value(); });
        return *std::move(result);
    }

    // Runs until no work is left, so that the history is written, too.
    void run_to_idle() {
        context.restart();
        context.run();
    }

    boost::asio::io_context context;
};

} // namespace carawayway::operators
