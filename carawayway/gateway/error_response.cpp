// Problem documents for requests that were given up.
#include "carawayway/gateway/error_response.hpp"

#include <fmt/format.h>

namespace carawayway::gateway {

http_response refusal_answer(const base::error_answer& row, base::duration retry_after) {
    http_response answer{static_cast<http::status>(row.status), 11};
    answer.set(http::field::content_type, "application/problem+json");
    if (retry_after > base::duration::zero()) {
        answer.set(http::field::retry_after, fmt::format("{:.3f}", base::to_seconds(retry_after)));
    }
    answer.body() = fmt::format(R"({{"kind":"{}","execution":"{}"}})", row.name, to_string(row.execution));
    return answer;
}

} // namespace carawayway::gateway
