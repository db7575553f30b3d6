// Reads the platform's list of instances: one JSON object under each key with a given prefix.
#pragma once

#include "carawayway/engine/instance_record.hpp"
#include "carawayway/store/config_store.hpp"

#include <string>
#include <vector>

namespace carawayway::entry {

// Skips and logs values that are not valid records: one broken record must not hide the others.
std::vector<engine::instance_record> parse_instances(const std::vector<store::key_value>& values);

// Returns the end (exclusive) of the key range that holds all keys with this prefix.
std::string prefix_end(std::string prefix);

} // namespace carawayway::entry
