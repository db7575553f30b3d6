// `carawayway request`: sends one request as a caller does and prints what is known about its execution.
#include "carawayway/cli/arguments.hpp"
#include "carawayway/cli/http_call.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

DECLARE_string(entry);
DECLARE_string(service);
DECLARE_string(source_address);
DECLARE_int32(timeout_ms);
DEFINE_string(method, "GET", "HTTP method");
DEFINE_string(path, "/", "path after /service/NAME");
DEFINE_string(body, "", "request body");
DEFINE_string(
    request_id, "",
    "request ID, sent as Idempotency-Key: the prefix from a lookup, followed by a name of your choice");
DEFINE_string(customer, "", "customer name, used as a metric label");

namespace carawayway::cli {

namespace {

http_call make_call() {
    http_call call;
    call.address = FLAGS_entry;
    call.source_address = FLAGS_source_address;
    call.method = FLAGS_method;
    call.target = "/service/" + FLAGS_service + (FLAGS_path.starts_with('/') ? "" : "/") + FLAGS_path;
    call.body = FLAGS_body;
    call.headers.emplace_back("X-Request-Timeout-Ms", std::to_string(FLAGS_timeout_ms));
    if (!FLAGS_request_id.empty()) {
        call.headers.emplace_back("Idempotency-Key", FLAGS_request_id);
    }
    if (!FLAGS_customer.empty()) {
        call.headers.emplace_back("X-Customer", FLAGS_customer);
    }
    // The entry instance answers at the deadline at the latest; the margin covers the transfer of the
    // response.
    call.timeout = std::chrono::milliseconds(FLAGS_timeout_ms) + std::chrono::seconds(1);
    return call;
}

exit_code to_exit_code(const http_reply& reply) {
    const std::string execution = reply.header("X-Execution");
    if (execution == "executed") {
        return reply.status < 400 ? exit_code::done : exit_code::failed;
    }
    if (execution == "not-executed") {
        return reply.status == 400 || reply.status == 404 ? exit_code::bad_input : exit_code::conflict;
    }
    return exit_code::outcome_unknown;
}

} // namespace

int run_request(const std::vector<std::string>& positional) {
    if (!positional.empty() || FLAGS_service.empty()) {
        fmt::print(stderr, "carawayway request: --service NAME is required, without further arguments\n");
        return to_int(exit_code::bad_input);
    }
    call_failure failure = call_failure::none;
    std::string reason;
    const auto reply = perform(make_call(), failure, reason);
    if (!reply) {
        fmt::print(stderr, "carawayway request: {}\n", reason);
        switch (failure) {
        case call_failure::bad_address:
            return to_int(exit_code::bad_input);
        case call_failure::not_sent:
            return to_int(exit_code::unreachable);
        case call_failure::none:
        case call_failure::outcome_unknown:
            break;
        }
        return to_int(exit_code::outcome_unknown);
    }
    fmt::print("status={} execution={}", reply->status, reply->header("X-Execution"));
    for (const auto* name : {"X-Server", "Retry-After", "X-Request-Id-Prefix"}) {
        if (const auto value = reply->header(name); !value.empty()) {
            fmt::print(" {}={}", name, value);
        }
    }
    fmt::print("\n{}{}", reply->body, reply->body.ends_with('\n') ? "" : "\n");
    return to_int(to_exit_code(*reply));
}

} // namespace carawayway::cli
