// Exit codes of all subcommands, for scripts.
#pragma once

namespace carawayway::cli {

enum class exit_code : int {
    done = 0,
    failed = 1,          // an answer arrived and says that the call failed
    bad_input = 2,       // flags, files or a request that can never succeed
    conflict = 3,        // somebody else changed it first, or the request was not executed
    unreachable = 4,     // no connection, nothing was sent
    outcome_unknown = 5, // sent, but no answer tells what became of it
};

inline int to_int(exit_code code) {
    return static_cast<int>(code);
}

} // namespace carawayway::cli
