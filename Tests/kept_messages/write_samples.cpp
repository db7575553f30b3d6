// Prints one message or record of each kind that a gateway writes and another one reads, as the sources that
// it is compiled with write them. Meta/keep-messages.sh compiles it with those of an earlier commit.
#include "carawayway/fleet/replication_codec.hpp"
#include "carawayway/gateway/crash_notice_codec.hpp"
#include "platform/protocol.hpp"
#if __has_include("carawayway/gateway/relay_headers.hpp")
#include "carawayway/gateway/relay_headers.hpp"
#endif

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

namespace {

namespace fleet = carawayway::fleet;
namespace gateway = carawayway::gateway;
using platform::protocol;

constexpr std::int64_t lease = 42;

void print_bytes(std::string_view name, std::string_view bytes) {
    std::string digits;
    for (const char byte : bytes) {
        digits += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    }
    fmt::print("{} {}\n", name, digits);
}

void print_call(std::string_view name, const fleet::store_call& call) {
    fmt::print("{} {}\n", name, call.body);
}

template <class Registration>
Registration make_registration() {
    Registration own;
    own.name = "g";
    own.failure_domain = "z";
    own.region = "r";
    own.caller_address = "10.0.0.1:80";
    own.peer_address = "10.0.0.1:81";
    own.notice_address = "10.0.0.1:82";
    if constexpr (requires { own.relay_key; }) {
        own.relay_address = "10.0.0.1:83";
        own.relay_key = "key";
    }
    if constexpr (requires { own.machine; }) {
        own.machine = {200.0, 0.5};
    }
    return own;
}

#if __has_include("carawayway/gateway/relay_headers.hpp")
void print_headers(std::string_view name, const gateway::http::fields& headers) {
    std::string text;
    for (const auto& field : headers) {
        text += fmt::format("{}{}={}", text.empty() ? "" : ";", std::string_view(field.name_string()),
                            std::string_view(field.value()));
    }
    fmt::print("{} {}\n", name, text);
}

void print_relayed_request() {
    gateway::http::fields request;
    gateway::write_relayed_call(request, {std::chrono::microseconds{1500}, 1, true, 9}, "key");
    print_headers("relayed-call", request);
    gateway::http::fields answer;
    gateway::write_relay_verdict(answer, {std::nullopt, "i-1"});
    print_headers("relay-answer", answer);
    gateway::http::fields refusal;
    gateway::write_relay_verdict(refusal, {carawayway::base::error_kind::peer_refused, ""});
    print_headers("relay-refusal", refusal);
}
#else
void print_relayed_request() {}
#endif

template <class Protocol>
void print_quarantine() {
    if constexpr (requires { Protocol::quarantine_call("0123456789abcdef", "g", lease); }) {
        print_call("quarantine", Protocol::quarantine_call("0123456789abcdef", "g", lease));
    } else {
        print_call("quarantine",
                   Protocol::quarantine_call({"0123456789abcdef", "g", 3, false}, lease, lease + 1));
    }
}

} // namespace

int main() {
    print_bytes("replication-request", encode(fleet::replication_request{fleet::store_revision{77, 3},
                                                                         std::chrono::milliseconds{700}}));
    print_bytes("replication-reply",
                encode(fleet::replication_reply{
                    fleet::store_revision{90, 3},
                    true,
                    {{"servers/a", std::string("\0\xff{}", 4), fleet::store_revision{80, 2}, false},
                     {"op/evacuate/b", {}, fleet::store_revision{90, 3}, true}},
                    true,
                    std::chrono::milliseconds{2300}}));
    const std::vector<carawayway::steering::crash_count> counts{{0xfedcba9876543210U, 2}, {1, 0}};
    print_bytes("crash-notice", gateway::encode_crash_notice(counts));
    print_call("registration",
               protocol::register_call(make_registration<fleet::gateway_registration>(), lease));
    print_quarantine<protocol>();
    const fleet::request_permit permit{"i-1", 5, "r", 3, "g", "s", 7.5, false};
    print_call("permit", protocol::claim_call({permit, 9}, lease));
    print_call("permit-release", protocol::release_call({"i-1", {{permit, 9}}}, lease));
    print_relayed_request();
}
