// Types for the contents of HTTP headers and platform settings, and the interface of a platform adapter.
#pragma once

#include "carawayway/accounts/quota_bucket.hpp"
#include "carawayway/base/time.hpp"
#include "carawayway/fleet/answered_content.hpp"
#include "carawayway/fleet/content_quarantine.hpp"
#include "carawayway/fleet/registrations.hpp"
#include "carawayway/fleet/store_messages.hpp"
#include "carawayway/gateway/message_memory.hpp"
#include "carawayway/placement/server_state.hpp"
#include "carawayway/placement/server_table.hpp"
#include "carawayway/routing/configuration.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::gateway {

namespace http = boost::beast::http;

// A message with the memory that is reserved for it. It cannot be copied, so that each body is held once and
// counted.
template <bool is_request>
class counted_message : public http::message<is_request, http::string_body> {
public:
    using uncounted = http::message<is_request, http::string_body>;
    using uncounted::uncounted;

    counted_message(uncounted content, message_memory::reservation reserved)
        : uncounted(std::move(content)), m_memory(std::move(reserved)) {}

private:
    message_memory::reservation m_memory;
};

using http_request = counted_message<true>;
using http_response = counted_message<false>;

struct request_metadata {
    std::string request_id;                  // of the caller's current attempt
    std::string object;                      // affinity key; empty if the request has none
    std::optional<base::duration> time_left; // until the caller's deadline, if it sent one

    bool operator==(const request_metadata&) const = default;
};

struct response_metadata {
    std::string request_id; // of the request that is answered
    bool not_executed = false;
    bool has_refusal_status = false;   // callers take the status to mean that the request was not executed
    bool other_server = false;         // the address now belongs to another server
    bool has_signature = false;        // the response carries the signature of the server
    bool has_content_encoding = false; // the body was altered on the way from the server
    std::optional<placement::load_report> load;
    bool names_rate_limit = false;            // whether the response names a limit, readable or not
    std::optional<double> request_rate_limit; // requests per second that the server takes from all gateways
    bool is_leaving = false;                  // the server is about to stop
    bool asks_for_rest = false;         // it wants no requests of this gateway, readable or not how long
    std::optional<base::duration> rest; // for how long

    bool operator==(const response_metadata&) const = default;
};

struct health_report {
    placement::health_check_result verdict = placement::health_check_result::no_answer;
    base::duration cold_left{};

    bool operator==(const health_report&) const = default;
};

struct lookup_query {
    std::string host;
    std::string region;         // of the caller
    std::string failure_domain; // of the caller

    bool operator==(const lookup_query&) const = default;
};

// Limits that the platform sets for a deployment.
struct platform_bounds {
    double retry_share = 0.1;  // retries per request of a service, over all gateways
    double retry_slack = 10.0; // additional retries per window, over all gateways
    base::duration retry_window = std::chrono::seconds{10};
    placement::cold_limits cold;
    double region_shift_share = 0.15; // maximum share of requests that may change region between windows
    base::duration lookup_lifetime = std::chrono::seconds{2}; // maximum
    base::duration stop_grace = std::chrono::seconds{6};      // from SIGTERM to SIGKILL
    // A gateway that has run and reached the store for this long must act on what the store tells.
    base::duration contact_time = std::chrono::seconds{3};
    accounts::quota_tolerance quota_tolerance{};

    bool operator==(const platform_bounds&) const = default;
};

// Translates between a platform's protocol and the types of this project. Stateless and without policy.
template <class Platform>
concept platform_protocol = requires(const http::fields& headers, http::fields& out, std::string_view text,
                                     std::string_view body, std::int64_t number, base::duration duration,
                                     unsigned status, const fleet::gateway_registration& own,
                                     const std::vector<std::string>& addresses,
                                     const fleet::permit_key& permit_key, const fleet::permit_claim& claim,
                                     const fleet::permit_release& release,
                                     const fleet::content_quarantine& quarantine,
                                     const fleet::answered_content& answered) {
    { Platform::read_bounds(text) } -> std::same_as<std::optional<platform_bounds>>;

    // Callers and servers.
    { Platform::read_call(headers) } -> std::same_as<request_metadata>;
    { Platform::take_api_key(out) } -> std::same_as<std::optional<std::string>>;
    { Platform::write_account(out, text) } -> std::same_as<void>;        // name; empty: none
    { Platform::write_call(out, text, duration) } -> std::same_as<void>; // server ID, time left
    { Platform::read_answer(status, headers) } -> std::same_as<response_metadata>;
    { Platform::read_health(status, headers, text) } -> std::same_as<health_report>; // expected server ID
    { Platform::write_request_id(out, text) } -> std::same_as<void>;
    { Platform::is_readiness(text) } -> std::same_as<bool>;
    { Platform::read_lookup(text) } -> std::same_as<std::optional<lookup_query>>;
    { Platform::write_lookup(addresses, duration) } -> std::same_as<std::string>;

    // The store.
    { Platform::list_call(text) } -> std::same_as<fleet::store_call>; // last key of the previous page
    { Platform::watch_call(number, duration) } -> std::same_as<fleet::store_call>; // revision, long-poll wait
    { Platform::grant_call(duration) } -> std::same_as<fleet::store_call>;
    { Platform::renew_call(number) } -> std::same_as<fleet::store_call>;
    { Platform::revoke_call(number) } -> std::same_as<fleet::store_call>;
    { Platform::register_call(own, number) } -> std::same_as<fleet::store_call>;                  // lease
    { Platform::quarantine_call(quarantine, number, number) } -> std::same_as<fleet::store_call>; // leases
    { Platform::answers_call(answered, number) } -> std::same_as<fleet::store_call>;              // lease
    // Fingerprint of the content, name of this gateway, lease.
    { Platform::claim_trial_call(text, text, number) } -> std::same_as<fleet::store_call>;
    { Platform::claim_call(claim, number) } -> std::same_as<fleet::store_call>;     // lease
    { Platform::release_call(release, number) } -> std::same_as<fleet::store_call>; // lease
    { Platform::read_transaction(status, body) } -> std::same_as<fleet::transaction_result>;
    { Platform::read_page(status, body) } -> std::same_as<fleet::store_page>;
    { Platform::read_events(status, body) } -> std::same_as<fleet::store_page>;
    { Platform::read_lease(status, body) } -> std::same_as<fleet::store_lease>;
    { Platform::read_era(headers) } -> std::same_as<std::optional<std::int64_t>>; // of the store
    { Platform::read_status(status) } -> std::same_as<fleet::store_status>;

    // Store records.
    { Platform::subject_of(text) } -> std::same_as<fleet::store_key_subject>;
    { Platform::read_server(text, text) } -> std::same_as<std::optional<fleet::server_registration>>;
    { Platform::read_configuration(text) } -> std::same_as<std::optional<routing::configuration>>;
    { Platform::read_gateway(text, text) } -> std::same_as<std::optional<fleet::gateway_registration>>;
    { Platform::read_quarantine(text, text) } -> std::same_as<std::optional<fleet::content_quarantine>>;
    { Platform::read_answers(text, text) } -> std::same_as<std::optional<fleet::answered_content>>;
    { Platform::read_permit_key(text) } -> std::same_as<std::optional<fleet::permit_key>>;
    { Platform::read_permit(permit_key, text) } -> std::same_as<std::optional<fleet::request_permit>>;
};

} // namespace carawayway::gateway
