// Converts reports of the engine to messages of operators.fbs.
#pragma once

#include "carawayway/engine/explain_report.hpp"
#include "carawayway/engine/status_report.hpp"
#include "carawayway/operators/messages.hpp"

namespace carawayway::operators {

status_reply to_message(const engine::status_report& report);
explain_reply to_message(const engine::explain_report& report);

} // namespace carawayway::operators
