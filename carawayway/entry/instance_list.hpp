// The platform's list of instances as stored: one JSON object under each key of a prefix.
#pragma once

#include "carawayway/engine/instance_record.hpp"
#include "carawayway/store/config_store.hpp"

#include <string>
#include <vector>

namespace carawayway::entry {

// Values that are no valid record are skipped and logged: one broken record must not hide the others.
std::vector<engine::instance_record> parse_instances(const std::vector<store::key_value>& values);

// The end of the key range that holds all keys with this prefix.
std::string prefix_end(std::string prefix);

} // namespace carawayway::entry
