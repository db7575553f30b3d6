// `carawayway gateway`: runs one gateway until SIGTERM or SIGINT.
#include "carawayway/base/allocator.hpp"
#include "carawayway/cli/arguments.hpp"
#include "carawayway/cli/settings_file.hpp"
#include "carawayway/config/gateway_settings_reader.hpp"
#include "carawayway/gateway/gateway_instance.hpp"
#include "platform/protocol.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

DECLARE_string(settings);

namespace carawayway::cli {

namespace {

// Prints the diagnostics of the file. Returns std::nullopt when the file is missing or invalid.
std::optional<config::gateway_settings> load_settings(const std::string& file) {
    const auto text = read_file(file);
    if (!text) {
        fmt::print(stderr, "carawayway gateway: cannot read {}\n", file);
        return std::nullopt;
    }
    std::vector<config::diagnostic> diagnostics;
    auto settings = config::read_gateway_settings(*text, file, diagnostics);
    for (const auto& item : diagnostics) {
        fmt::print(stderr, "{}\n", config::to_string(item));
    }
    return settings;
}

} // namespace

int run_gateway(const std::vector<std::string>& positional) {
    base::ignore_end_of_log_reader();
    base::return_large_blocks_at_once();
    if (!positional.empty() || FLAGS_settings.empty()) {
        fmt::print(stderr, "carawayway gateway: --settings FILE is required, without further arguments\n");
        return to_int(exit_code::bad_input);
    }
    const auto settings = load_settings(FLAGS_settings);
    if (!settings) {
        return to_int(exit_code::bad_input);
    }
    const auto bounds = platform::protocol::read_bounds(settings->bounds);
    if (!bounds) {
        fmt::print(stderr,
                   "carawayway gateway: {}: bounds: expected NAME=NUMBER separated by commas, or a JSON "
                   "object of numbers\n",
                   FLAGS_settings);
        return to_int(exit_code::bad_input);
    }
    base::set_log_level(settings->log_level);
    try {
        gateway::gateway_instance<platform::protocol> instance(*settings, *bounds,
                                                               [] { return load_settings(FLAGS_settings); });
        instance.run();
    } catch (const boost::system::system_error& error) {
        fmt::print(stderr, "carawayway gateway: {}\n", error.what());
        return to_int(exit_code::failed);
    }
    return to_int(exit_code::done);
}

} // namespace carawayway::cli
