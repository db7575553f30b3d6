// Tests of calls to servers that break off their replies.
#include "Tests/support/raw_server.hpp"
#include "carawayway/cli/http_call.hpp"

#include <gtest/gtest.h>

namespace carawayway::cli {
namespace {

using test_support::raw_server;

// The kind of failure of an upload of which the server reads the head alone, before it replies with `bytes`
// and resets the connection.
call_failure failure_of_upload(const std::string& bytes) {
    // More than the kernel takes while the server does not read.
    constexpr std::size_t upload_bytes = 32U << 20U;
    const raw_server server([&bytes](const std::string&) { return bytes; },
                            raw_server::connection_end::reset);
    http_call call;
    call.address = server.address();
    call.method = "POST";
    call.body.assign(upload_bytes, 'u');
    auto failure = call_failure::none;
    std::string reason;
    perform(call, failure, reason);
    return failure;
}

// Guards against taking a part for the whole when the write has been told of the reset.
TEST(http_call_test, a_reply_without_length_does_not_end_with_a_reset_during_an_upload) {
    EXPECT_EQ(failure_of_upload("HTTP/1.1 200 OK\r\n\r\na part"), call_failure::outcome_unknown);
    EXPECT_EQ(failure_of_upload("HTTP/1.1 413 Content Too Large\r\nContent-Length: 4\r\n\r\nbody"),
              call_failure::none);
}

} // namespace
} // namespace carawayway::cli
