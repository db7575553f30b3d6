// What the programs of all cases have in common: arguments, TROUBLE and the exit code.
#pragma once

#include "review/stand_ins/deployment.hpp"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string_view>

namespace review {

struct case_outcome {
    bool has_run = false;
    bool is_broken = false;
};

using case_function =
    std::function<boost::asio::awaitable<void>(deployment&, bool has_trouble, case_outcome&)>;

// Arguments: the file of the record, and a folder for settings and logs. Returns 1 if the rule was broken, 0
// if it held, and 2 if the case could not run.
inline int run_case(int argc, char** argv, deployment_options options, const std::string& rule,
                    const case_function& play) {
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s RECORD FOLDER\n", argv[0]);
        return 2;
    }
    options.record_file = argv[1];
    options.folder = argv[2];
    const char* const trouble = std::getenv("TROUBLE");
    const bool has_trouble = trouble == nullptr || std::string_view(trouble) != "0";
    deployment system(options);
    case_outcome outcome;
    system.run(play(system, has_trouble, outcome));
    system.write_requests();
    if (!outcome.has_run) {
        system.log().line("the case could not run");
        return 2;
    }
    system.log().line(rule + (outcome.is_broken ? " is broken" : " holds"));
    return outcome.is_broken ? 1 : 0;
}

} // namespace review
