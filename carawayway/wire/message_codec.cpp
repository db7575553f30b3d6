// Converts messages to and from FlatBuffers. Received bytes are not trusted: the FlatBuffers verifier checks
// the structure of the buffer, the read functions check lengths, enumerations and numbers.
#include "carawayway/wire/message_codec.hpp"

#include "carawayway/wire/frame_reader.hpp"
#include "carawayway/wire/peer_generated.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace carawayway::wire {

namespace {

namespace fb = carawayway::wire::schema;
using builder = flatbuffers::FlatBufferBuilder;
template <class Table>
using offset = flatbuffers::Offset<Table>;
template <class Table>
using table_vector = flatbuffers::Vector<offset<Table>>;

constexpr std::size_t maximum_name_size = 255; // bytes, names of entries, domains, regions, services, servers
constexpr std::size_t maximum_text_size = 64U << 10U; // bytes, header lines, targets and details
constexpr std::size_t maximum_list_length = 20000;    // items in one list
constexpr std::uint16_t lowest_status = 100;
constexpr std::uint16_t highest_status = 599;

// ---- writing ----

offset<flatbuffers::String> write_text(builder& out, const std::string& text) {
    return out.CreateString(text);
}

// An empty text is omitted from the buffer.
offset<flatbuffers::String> write_optional_text(builder& out, const std::string& text) {
    return text.empty() ? offset<flatbuffers::String>{} : out.CreateString(text);
}

offset<flatbuffers::Vector<std::uint8_t>> write_bytes(builder& out, const void* data, std::size_t size) {
    return out.CreateVector(static_cast<const std::uint8_t*>(data), size);
}

offset<flatbuffers::Vector<std::uint8_t>> write_body(builder& out, const std::string& body) {
    return body.empty() ? offset<flatbuffers::Vector<std::uint8_t>>{}
                        : write_bytes(out, body.data(), body.size());
}

// An empty list is omitted from the buffer.
template <class Item, class Write>
auto write_list(builder& out, const std::vector<Item>& items, Write write) {
    using written_item = decltype(write(out, items.front()));
    if (items.empty()) {
        return offset<flatbuffers::Vector<written_item>>{};
    }
    std::vector<written_item> offsets;
    offsets.reserve(items.size());
    for (const Item& item : items) {
        offsets.push_back(write(out, item));
    }
    return out.CreateVector(offsets);
}

offset<fb::socket_address> write_address(builder& out, const config::socket_address& address) {
    return fb::Createsocket_address(out, write_text(out, address.host), address.port);
}

offset<fb::server_claim> write_claim(builder& out, const server_claim& claim) {
    return fb::Createserver_claim(out, write_text(out, claim.server), claim.epoch,
                                  static_cast<fb::claim_state>(claim.state));
}

offset<fb::entry_claim> write_entry_claim(builder& out, const entry_claim& value) {
    const auto claim = write_claim(out, value.claim);
    return fb::Createentry_claim(out, write_text(out, value.entry), value.incarnation, claim);
}

offset<fb::relayed_counter> write_relayed(builder& out, const relayed_counter& value) {
    return fb::Createrelayed_counter(out, write_text(out, value.entry), value.incarnation, value.counter);
}

offset<fb::member_record> write_member(builder& out, const member_record& value) {
    const auto caller_address = write_address(out, value.caller_address);
    const auto peer_address = write_address(out, value.peer_address);
    return fb::Createmember_record(out, write_text(out, value.name), write_text(out, value.failure_domain),
                                   write_text(out, value.region), value.incarnation, caller_address,
                                   peer_address);
}

offset<fb::home_rate> write_rate(builder& out, const home_rate& value) {
    return fb::Createhome_rate(out, write_text(out, value.region), value.requests_per_second);
}

offset<fb::service_summary> write_service(builder& out, const service_summary& value) {
    const auto rates = write_list(out, value.home_rates, write_rate);
    return fb::Createservice_summary(out, write_text(out, value.service), value.free_slots,
                                     value.usable_slots, value.in_flight, value.queued,
                                     value.typical_latency_us, rates);
}

offset<fb::header> write_header(builder& out, const header& value) {
    return fb::Createheader(out, write_text(out, value.name), write_text(out, value.value));
}

offset<fb::request> write_request(builder& out, const request& value) {
    const auto body = write_body(out, value.body);
    const auto headers = write_list(out, value.headers, write_header);
    return fb::Createrequest(out, write_text(out, value.service), write_optional_text(out, value.request_id),
                             write_optional_text(out, value.home_region),
                             write_optional_text(out, value.customer), value.timeout_ms,
                             write_text(out, value.method), write_text(out, value.target), headers, body,
                             value.fingerprint);
}

offset<fb::outcome> write_outcome(builder& out, const outcome& value) {
    const std::string error =
        value.error.has_value() ? std::string(base::properties_of(*value.error).name) : std::string();
    const auto body = write_body(out, value.body);
    const auto headers = write_list(out, value.headers, write_header);
    return fb::Createoutcome(out, write_optional_text(out, error),
                             static_cast<fb::execution_state>(value.execution), value.status, headers, body,
                             value.retry_after_ms, write_optional_text(out, value.server),
                             write_optional_text(out, value.detail));
}

// Writes one message of the union; has one overload per message kind.
struct message_writer {
    builder& out;

    auto operator()(const hello& value) const {
        const auto nonce_bytes = write_bytes(out, value.nonce.data(), value.nonce.size());
        const auto caller_address = write_address(out, value.caller_address);
        const auto peer_address = write_address(out, value.peer_address);
        return fb::Createhello(out, write_text(out, value.name), write_text(out, value.failure_domain),
                               write_text(out, value.region), value.incarnation, nonce_bytes, caller_address,
                               peer_address);
    }

    auto operator()(const hello_proof& value) const {
        return fb::Createhello_proof(out, write_bytes(out, value.mac.data(), value.mac.size()));
    }

    auto operator()(const heartbeat& value) const {
        const auto claims = value.claims.has_value() ? write_list(out, *value.claims, write_claim)
                                                     : offset<table_vector<fb::server_claim>>{};
        const auto relayed = write_list(out, value.relayed, write_relayed);
        const auto form = value.claims.has_value() ? fb::claims_form::full : fb::claims_form::unchanged;
        return fb::Createheartbeat(out, value.counter, static_cast<fb::running_state>(value.running),
                                   value.claims_version, form, claims, relayed);
    }

    auto operator()(const claims_request& value) const {
        return fb::Createclaims_request(out, value.token, value.claims_version,
                                        write_list(out, value.claims, write_claim));
    }

    auto operator()(const claims_report& value) const {
        const auto claims = write_list(out, value.claims, write_claim);
        return fb::Createclaims_report(out, value.token, value.claims_version, claims,
                                       write_list(out, value.known, write_entry_claim));
    }

    auto operator()(const member_list& value) const {
        return fb::Createmember_list(out, write_list(out, value.members, write_member));
    }

    auto operator()(const entry_summary& value) const {
        const auto services = write_list(out, value.services, write_service);
        return fb::Createentry_summary(out, services, write_list(out, value.draining_servers, write_text));
    }

    auto operator()(const policy_request& /*value*/) const { return fb::Createpolicy_request(out); }

    auto operator()(const policy_document& value) const {
        return fb::Createpolicy_document(out, value.revision, write_text(out, value.text));
    }

    auto operator()(const forward_request& value) const {
        return fb::Createforward_request(out, value.call, write_request(out, value.request));
    }

    auto operator()(const execute_request& value) const {
        return fb::Createexecute_request(out, value.call, write_request(out, value.request));
    }

    auto operator()(const request_result& value) const {
        return fb::Createrequest_result(out, value.call, write_outcome(out, value.outcome));
    }

    auto operator()(const cancel_request& value) const { return fb::Createcancel_request(out, value.call); }

    auto operator()(const strike& value) const {
        return fb::Createstrike(out, value.fingerprint, value.count, write_text(out, value.recorded_by));
    }

    auto operator()(const strike_cleared& value) const {
        return fb::Createstrike_cleared(out, value.fingerprint, write_text(out, value.recorded_by));
    }

    auto operator()(const drain_notice& value) const {
        return fb::Createdrain_notice(out, write_text(out, value.server),
                                      static_cast<fb::drain_evidence>(value.evidence));
    }
};

// ---- reading ----

// Records the first invalid field. The read functions continue with default values, and decode() drops the
// result.
class message_validator {
public:
    void require(bool condition, std::string_view field) {
        if (!condition && m_invalid_field.empty()) {
            m_invalid_field = field;
        }
    }

    bool is_valid() const { return m_invalid_field.empty(); }
    const std::string& invalid_field() const { return m_invalid_field; }

private:
    std::string m_invalid_field;
};

std::string read_text(message_validator& validator, const flatbuffers::String* text, std::size_t maximum_size,
                      std::string_view field) {
    if (text == nullptr) {
        return {};
    }
    validator.require(text->size() <= maximum_size, field);
    return validator.is_valid() ? text->str() : std::string();
}

std::string read_name(message_validator& validator, const flatbuffers::String* text, std::string_view field) {
    std::string name = read_text(validator, text, maximum_name_size, field);
    validator.require(!name.empty(), field);
    return name;
}

std::string read_body(const flatbuffers::Vector<std::uint8_t>* body) {
    if (body == nullptr) {
        return {};
    }
    return {body->begin(), body->end()};
}

template <std::size_t Size>
std::array<std::byte, Size> read_byte_array(message_validator& validator,
                                            const flatbuffers::Vector<std::uint8_t>* bytes,
                                            std::string_view field) {
    std::array<std::byte, Size> value{};
    validator.require(bytes != nullptr && bytes->size() == Size, field);
    if (validator.is_valid()) {
        std::transform(bytes->begin(), bytes->end(), value.begin(),
                       [](std::uint8_t byte) { return static_cast<std::byte>(byte); });
    }
    return value;
}

// `last` is the highest valid value of the enumeration.
template <class Value, class Raw>
Value read_enum(message_validator& validator, Raw raw, Value last, std::string_view field) {
    validator.require(static_cast<std::uint8_t>(raw) <= static_cast<std::uint8_t>(last), field);
    return static_cast<Value>(raw);
}

template <class Item, class Raw, class Read>
std::vector<Item> read_list(message_validator& validator, const flatbuffers::Vector<Raw>* items, Read read) {
    std::vector<Item> values;
    if (items == nullptr) {
        return values;
    }
    validator.require(items->size() <= maximum_list_length, "list length");
    for (auto item = items->begin(); item != items->end() && validator.is_valid(); ++item) {
        values.push_back(read(validator, *item));
    }
    return values;
}

config::socket_address read_address(message_validator& validator, const fb::socket_address* address) {
    return {read_name(validator, address->host(), "address"), address->port()};
}

server_claim read_claim(message_validator& validator, const fb::server_claim* claim) {
    return {read_name(validator, claim->server(), "claim server"), claim->epoch(),
            read_enum(validator, claim->state(), claim_state::unconfirmed, "claim state")};
}

entry_claim read_entry_claim(message_validator& validator, const fb::entry_claim* value) {
    return {read_name(validator, value->entry(), "claim entry"), value->incarnation(),
            read_claim(validator, value->claim())};
}

relayed_counter read_relayed(message_validator& validator, const fb::relayed_counter* value) {
    return {read_name(validator, value->entry(), "relayed entry"), value->incarnation(), value->counter()};
}

member_record read_member(message_validator& validator, const fb::member_record* value) {
    return {read_name(validator, value->name(), "member name"),
            read_name(validator, value->failure_domain(), "member failure domain"),
            read_name(validator, value->region(), "member region"),
            value->incarnation(),
            read_address(validator, value->caller_address()),
            read_address(validator, value->peer_address())};
}

home_rate read_rate(message_validator& validator, const fb::home_rate* value) {
    const double rate = value->requests_per_second();
    validator.require(std::isfinite(rate) && rate >= 0, "request rate");
    return {read_name(validator, value->region(), "rate region"), rate};
}

service_summary read_service(message_validator& validator, const fb::service_summary* value) {
    return {read_name(validator, value->service(), "summary service"),
            value->free_slots(),
            value->usable_slots(),
            value->in_flight(),
            value->queued(),
            value->typical_latency_us(),
            read_list<home_rate>(validator, value->home_rates(), read_rate)};
}

header read_header(message_validator& validator, const fb::header* value) {
    return {read_name(validator, value->name(), "header name"),
            read_text(validator, value->value(), maximum_text_size, "header value")};
}

request read_request(message_validator& validator, const fb::request* value) {
    return {read_name(validator, value->service(), "request service"),
            read_text(validator, value->request_id(), maximum_name_size, "request ID"),
            read_text(validator, value->home_region(), maximum_name_size, "home region"),
            read_text(validator, value->customer(), maximum_name_size, "customer"),
            value->timeout_ms(),
            read_name(validator, value->method(), "request method"),
            read_text(validator, value->target(), maximum_text_size, "request target"),
            read_list<header>(validator, value->headers(), read_header),
            read_body(value->body()),
            value->fingerprint()};
}

outcome read_outcome(message_validator& validator, const fb::outcome* value) {
    const std::string error = read_text(validator, value->error(), maximum_name_size, "error kind");
    const auto kind = base::error_kind_from_name(error);
    validator.require(error.empty() || kind.has_value(), "error kind");
    const std::uint16_t status = value->status();
    validator.require(status == 0 || (status >= lowest_status && status <= highest_status), "status");
    return {kind,
            read_enum(validator, value->execution(), base::execution_state::unknown, "execution state"),
            status,
            read_list<header>(validator, value->headers(), read_header),
            read_body(value->body()),
            value->retry_after_ms(),
            read_text(validator, value->server(), maximum_name_size, "outcome server"),
            read_text(validator, value->detail(), maximum_text_size, "outcome detail")};
}

hello read_message(message_validator& validator, const fb::hello& value) {
    return {read_name(validator, value.name(), "hello name"),
            read_name(validator, value.failure_domain(), "hello failure domain"),
            read_name(validator, value.region(), "hello region"),
            value.incarnation(),
            read_byte_array<nonce_size>(validator, value.nonce(), "hello nonce"),
            read_address(validator, value.caller_address()),
            read_address(validator, value.peer_address())};
}

hello_proof read_message(message_validator& validator, const fb::hello_proof& value) {
    return {read_byte_array<mac_size>(validator, value.mac(), "proof length")};
}

heartbeat read_message(message_validator& validator, const fb::heartbeat& value) {
    heartbeat result;
    result.counter = value.counter();
    result.running = read_enum(validator, value.running(), running_state::starting, "running state");
    result.claims_version = value.claims_version();
    const auto form = read_enum(validator, value.claims_form(), fb::claims_form::unchanged, "claims form");
    if (form == fb::claims_form::full) {
        result.claims = read_list<server_claim>(validator, value.claims(), read_claim);
    }
    result.relayed = read_list<relayed_counter>(validator, value.relayed(), read_relayed);
    return result;
}

claims_request read_message(message_validator& validator, const fb::claims_request& value) {
    return {value.token(), value.claims_version(),
            read_list<server_claim>(validator, value.claims(), read_claim)};
}

claims_report read_message(message_validator& validator, const fb::claims_report& value) {
    return {value.token(), value.claims_version(),
            read_list<server_claim>(validator, value.claims(), read_claim),
            read_list<entry_claim>(validator, value.known(), read_entry_claim)};
}

member_list read_message(message_validator& validator, const fb::member_list& value) {
    return {read_list<member_record>(validator, value.members(), read_member)};
}

entry_summary read_message(message_validator& validator, const fb::entry_summary& value) {
    return {read_list<service_summary>(validator, value.services(), read_service),
            read_list<std::string>(validator, value.draining_servers(),
                                   [](message_validator& inner, const flatbuffers::String* name) {
                                       return read_name(inner, name, "draining server");
                                   })};
}

policy_request read_message(message_validator& /*validator*/, const fb::policy_request& /*value*/) {
    return {};
}

policy_document read_message(message_validator& validator, const fb::policy_document& value) {
    validator.require(value.revision() >= 0, "policy revision");
    return {value.revision(), read_text(validator, value.text(), maximum_payload_size, "policy text")};
}

forward_request read_message(message_validator& validator, const fb::forward_request& value) {
    return {value.call(), read_request(validator, value.content())};
}

execute_request read_message(message_validator& validator, const fb::execute_request& value) {
    return {value.call(), read_request(validator, value.content())};
}

request_result read_message(message_validator& validator, const fb::request_result& value) {
    return {value.call(), read_outcome(validator, value.answer())};
}

cancel_request read_message(message_validator& /*validator*/, const fb::cancel_request& value) {
    return {value.call()};
}

strike read_message(message_validator& validator, const fb::strike& value) {
    return {value.fingerprint(), value.count(), read_name(validator, value.recorded_by(), "strike recorder")};
}

strike_cleared read_message(message_validator& validator, const fb::strike_cleared& value) {
    return {value.fingerprint(), read_name(validator, value.recorded_by(), "strike recorder")};
}

drain_notice read_message(message_validator& validator, const fb::drain_notice& value) {
    return {read_name(validator, value.server(), "draining server"),
            read_enum(validator, value.evidence(), drain_evidence::server_answer, "drain evidence")};
}

template <class Table>
peer_message read_as(message_validator& validator, const fb::peer_frame& frame) {
    return read_message(validator, *static_cast<const Table*>(frame.message()));
}

using message_reader = peer_message (*)(message_validator&, const fb::peer_frame&);

// In the order of the variant. Index `i` of the variant is value `i + 1` of the union, whose value 0 means
// none.
constexpr std::array<message_reader, message_kind_count> message_readers{
    read_as<fb::hello>,           read_as<fb::hello_proof>,     read_as<fb::heartbeat>,
    read_as<fb::claims_request>,  read_as<fb::claims_report>,   read_as<fb::member_list>,
    read_as<fb::entry_summary>,   read_as<fb::policy_request>,  read_as<fb::policy_document>,
    read_as<fb::forward_request>, read_as<fb::execute_request>, read_as<fb::request_result>,
    read_as<fb::cancel_request>,  read_as<fb::strike>,          read_as<fb::strike_cleared>,
    read_as<fb::drain_notice>,
};
static_assert(static_cast<std::size_t>(fb::peer_message::MAX) == message_kind_count);

constexpr std::array<std::string_view, message_kind_count> kind_names{
    "hello",           "hello_proof",     "heartbeat",       "claims_request",
    "claims_report",   "member_list",     "entry_summary",   "policy_request",
    "policy_document", "forward_request", "execute_request", "request_result",
    "cancel_request",  "strike",          "strike_cleared",  "drain_notice",
};

std::optional<received_message> reject(base::failure& last_failure, std::string_view field) {
    last_failure = {base::error_kind::frame_invalid, fmt::format("invalid {} in peer message", field)};
    return std::nullopt;
}

} // namespace

std::string_view message_kind_name(std::size_t index) {
    return kind_names.at(index);
}

std::vector<std::byte> encode(const envelope& header, const peer_message& message) {
    builder out;
    const auto content =
        std::visit([&out](const auto& value) { return message_writer{out}(value).Union(); }, message);
    const auto sender = out.CreateString(header.sender);
    const auto kind = static_cast<fb::peer_message>(message.index() + 1);
    fb::Finishpeer_frameBuffer(out,
                               fb::Createpeer_frame(out, sender, header.incarnation, header.policy_revision,
                                                    header.sequence, kind, content));
    const auto* data = reinterpret_cast<const std::byte*>(out.GetBufferPointer());
    return {data, data + out.GetSize()};
}

std::optional<received_message> decode(std::span<const std::byte> bytes, base::failure& last_failure) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!fb::Verifypeer_frameBuffer(verifier)) {
        return reject(last_failure, "structure");
    }
    const fb::peer_frame& frame = *fb::Getpeer_frame(data);
    const auto kind = static_cast<std::size_t>(frame.message_type());
    if (kind == 0 || kind > message_kind_count || frame.message() == nullptr) {
        return reject(last_failure, "message kind");
    }
    message_validator validator;
    received_message received;
    received.envelope.sender = read_name(validator, frame.sender(), "sender");
    received.envelope.incarnation = frame.incarnation();
    received.envelope.policy_revision = frame.policy_revision();
    received.envelope.sequence = frame.sequence();
    validator.require(received.envelope.policy_revision >= 0, "policy revision");
    if (validator.is_valid()) {
        received.message = message_readers.at(kind - 1)(validator, frame);
    }
    if (!validator.is_valid()) {
        return reject(last_failure, validator.invalid_field());
    }
    return received;
}

} // namespace carawayway::wire
