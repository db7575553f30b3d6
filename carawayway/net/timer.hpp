// Timer of the clock that decisions use.
#pragma once

#include "carawayway/base/time.hpp"

#include <boost/asio/basic_waitable_timer.hpp>

namespace carawayway::net {

// After the machine was suspended, the event loop notices that such a timer has ended when it next wakes up.
using timer = boost::asio::basic_waitable_timer<base::monotonic_clock>;

} // namespace carawayway::net
