// How far the disappearance of an entry can be believed.
#pragma once

#include <cstdint>

namespace carawayway::gateway {

// Whether an entry that disappeared is gone for good, or may have expired while its owner lives.
enum class removal_trust : std::uint8_t { certain, uncertain };

} // namespace carawayway::gateway
