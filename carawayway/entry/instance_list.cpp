// A record is a JSON object with the members "service", "address" and "state"; state is "live" or "leaving".
#include "carawayway/entry/instance_list.hpp"

#include "carawayway/base/log.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <optional>

namespace carawayway::entry {

namespace {

std::optional<std::string> string_member(const boost::json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    return std::string(value->get_string().data(), value->get_string().size());
}

std::optional<engine::instance_record> parse_record(const std::string& text) {
    boost::json::error_code error;
    const auto document = boost::json::parse(text, error);
    if (error || !document.is_object()) {
        return std::nullopt;
    }
    const auto& object = document.get_object();
    const auto service = string_member(object, "service");
    const auto address = string_member(object, "address");
    const auto state = string_member(object, "state");
    if (!service || !address || !state || (*state != "live" && *state != "leaving")) {
        return std::nullopt;
    }
    return engine::instance_record{*service, *address,
                                   *state == "live" ? engine::instance_state::live
                                                    : engine::instance_state::leaving};
}

} // namespace

std::vector<engine::instance_record> parse_instances(const std::vector<store::key_value>& values) {
    std::vector<engine::instance_record> records;
    for (const auto& item : values) {
        if (auto record = parse_record(item.value)) {
            records.push_back(std::move(*record));
        } else {
            base::log(base::log_level::warning, "instance-record-invalid", {{"key", item.key}});
        }
    }
    return records;
}

std::string prefix_end(std::string prefix) {
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last < 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0'); // the store reads this as: up to the last key
}

} // namespace carawayway::entry
