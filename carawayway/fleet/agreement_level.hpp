// The level of what gateways agree on without messages, such as which servers hold an object.
#pragma once

#include <cstdint>

namespace carawayway::fleet {

// Raised by one with each change of such an agreement. The new way may be used only while all gateways in
// sight have at least its level.
constexpr std::uint32_t agreement_level = 1;

// Told by a gateway whose build has no levels.
constexpr std::uint32_t no_agreement_level = 0;

} // namespace carawayway::fleet
