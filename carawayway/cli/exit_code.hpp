// Exit codes of all subcommands, for scripts.
#pragma once

namespace carawayway::cli {

enum class exit_code : int {
    done = 0,
    failed = 1,          // a reply arrived and reports a failure
    bad_input = 2,       // invalid flags or files, or a request that can never succeed
    conflict = 3,        // another change came first, or the request was not executed
    unreachable = 4,     // no connection, nothing was sent
    outcome_unknown = 5, // sent, but no reply tells the outcome
};

inline int to_int(exit_code code) {
    return static_cast<int>(code);
}

} // namespace carawayway::cli
