// Tests of calls to servers that break off their replies, or send what is none.
#include "Tests/support/raw_server.hpp"
#include "carawayway/cli/http_call.hpp"

#include <gtest/gtest.h>

namespace carawayway::cli {
namespace {

using test_support::raw_server;

// The kind of failure of a call whose body has this size. The server reads the head alone, and replies with
// `bytes`.
call_failure failure_of_call(std::size_t body_bytes, const std::string& bytes,
                             raw_server::connection_end end) {
    const raw_server server([&bytes](const std::string&) { return bytes; }, end);
    http_call call;
    call.address = server.address();
    call.method = "POST";
    call.body.assign(body_bytes, 'u');
    auto failure = call_failure::none;
    std::string reason;
    perform(call, failure, reason);
    return failure;
}

// Guards against taking a part for the whole when the write has been told of the reset.
TEST(http_call_test, a_reply_without_length_does_not_end_with_a_reset_during_an_upload) {
    // More than the kernel takes while the server does not read.
    constexpr std::size_t upload_bytes = 32U << 20U;
    const auto failure_of_upload = [](const std::string& bytes) {
        return failure_of_call(upload_bytes, bytes, raw_server::connection_end::reset);
    };
    EXPECT_EQ(failure_of_upload("HTTP/1.1 200 OK\r\n\r\na part"), call_failure::outcome_unknown);
    EXPECT_EQ(failure_of_upload("HTTP/1.1 413 Content Too Large\r\nContent-Length: 4\r\n\r\nbody"),
              call_failure::none);
}

TEST(http_call_test, a_status_that_http_does_not_have_is_no_reply) {
    for (const std::string status : {"000", "600"}) {
        EXPECT_EQ(failure_of_call(0, "HTTP/1.1 " + status + " Trouble\r\nContent-Length: 0\r\n\r\n",
                                  raw_server::connection_end::by_peer),
                  call_failure::outcome_unknown)
            << status;
    }
}

} // namespace
} // namespace carawayway::cli
