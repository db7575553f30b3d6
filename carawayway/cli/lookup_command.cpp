// `carawayway lookup`: asks an entry instance, as a caller does, which entry instances to use.
#include "carawayway/cli/arguments.hpp"
#include "carawayway/cli/http_call.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(entry, "127.0.0.1:21000", "caller address (IP:port) of any entry instance");
DEFINE_string(service, "", "service name from the policy");
DEFINE_string(source_address, "", "IP address to call from; decides the home region; empty: any");
DEFINE_int32(timeout_ms, 2000, "timeout of the whole call, in milliseconds");
DEFINE_bool(json, false, "print the result as JSON");

namespace carawayway::cli {

namespace {

void print_table(const boost::json::object& document) {
    const auto text = [](const boost::json::value& value) {
        return std::string(value.as_string().data(), value.as_string().size());
    };
    fmt::print("service {}  home region {}  valid for {} ms\n", text(document.at("service")),
               text(document.at("home_region")), document.at("ttl_ms").as_int64());
    fmt::print("{:<16} {:<22} {:<12} {}\n", "ENTRY", "ADDRESS", "DOMAIN", "REGION");
    for (const auto& item : document.at("entries").as_array()) {
        const auto& entry = item.as_object();
        fmt::print("{:<16} {:<22} {:<12} {}\n", text(entry.at("name")), text(entry.at("address")),
                   text(entry.at("domain")), text(entry.at("region")));
    }
    fmt::print("request ID prefix {} (accepted for {} ms)\n", text(document.at("request_id_prefix")),
               document.at("accept_ms").as_int64());
}

} // namespace

int run_lookup(const std::vector<std::string>& positional) {
    if (!positional.empty() || FLAGS_service.empty()) {
        fmt::print(stderr, "carawayway lookup: --service NAME is required, without further arguments\n");
        return to_int(exit_code::bad_input);
    }
    http_call call;
    call.address = FLAGS_entry;
    call.source_address = FLAGS_source_address;
    call.target = "/lookup?service=" + FLAGS_service;
    call.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    call_failure failure = call_failure::none;
    std::string reason;
    const auto reply = perform(call, failure, reason);
    if (!reply) {
        fmt::print(stderr, "carawayway lookup: {}\n", reason);
        return to_int(failure == call_failure::bad_address ? exit_code::bad_input : exit_code::unreachable);
    }
    if (reply->status != 200 || FLAGS_json) {
        fmt::print("{}", reply->body);
        return to_int(reply->status == 200 ? exit_code::done : exit_code::failed);
    }
    boost::json::error_code error;
    const auto document = boost::json::parse(reply->body, error);
    if (error || !document.is_object()) {
        fmt::print(stderr, "carawayway lookup: the reply is not a JSON object\n");
        return to_int(exit_code::failed);
    }
    print_table(document.as_object());
    return to_int(exit_code::done);
}

} // namespace carawayway::cli
