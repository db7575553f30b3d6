// `carawayway entry`: runs one entry instance until SIGTERM or SIGINT.
#include "carawayway/cli/arguments.hpp"
#include "carawayway/cli/settings_file.hpp"
#include "carawayway/config/settings_reader.hpp"
#include "carawayway/entry/instance.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(settings, "", "settings file (INI) of the entry instance or gateway");

namespace carawayway::cli {

namespace {

std::string trimmed(std::string text) {
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' ')) {
        text.pop_back();
    }
    return text;
}

// Resolves a file name in the settings, which is relative to the folder of the settings file.
std::string resolve_path(const std::string& settings_file, const std::string& name) {
    const auto slash = settings_file.rfind('/');
    if (name.empty() || name.front() == '/' || slash == std::string::npos) {
        return name;
    }
    return settings_file.substr(0, slash + 1) + name;
}

std::optional<std::string> read_secret(const std::string& settings_file, const std::string& name,
                                       std::string_view key) {
    const auto path = resolve_path(settings_file, name);
    auto text = read_file(path);
    if (!text || trimmed(*text).empty()) {
        fmt::print(stderr, "carawayway entry: {}: cannot read a secret from {}\n", key, path);
        return std::nullopt;
    }
    return trimmed(std::move(*text));
}

} // namespace

int run_entry(const std::vector<std::string>& positional) {
    base::ignore_end_of_log_reader();
    if (!positional.empty() || FLAGS_settings.empty()) {
        fmt::print(stderr, "carawayway entry: --settings FILE is required, without further arguments\n");
        return to_int(exit_code::bad_input);
    }
    const auto text = read_file(FLAGS_settings);
    if (!text) {
        fmt::print(stderr, "carawayway entry: cannot read {}\n", FLAGS_settings);
        return to_int(exit_code::bad_input);
    }
    std::vector<config::diagnostic> diagnostics;
    const auto settings = config::read_settings(*text, FLAGS_settings, diagnostics);
    for (const auto& item : diagnostics) {
        fmt::print(stderr, "{}\n", config::to_string(item));
    }
    if (!settings) {
        return to_int(exit_code::bad_input);
    }
    base::set_log_level(settings->log_level);
    entry::instance_secrets secrets;
    const auto key = read_secret(FLAGS_settings, settings->deployment_key_file, "deployment_key_file");
    if (!key) {
        return to_int(exit_code::bad_input);
    }
    secrets.deployment_key = *key;
    if (!settings->operator_token_file.empty()) {
        const auto token = read_secret(FLAGS_settings, settings->operator_token_file, "operator_token_file");
        if (!token) {
            return to_int(exit_code::bad_input);
        }
        secrets.operator_token = *token;
    }
    entry::instance instance(*settings, std::move(secrets));
    base::failure failure;
    if (!instance.start(failure)) {
        fmt::print(stderr, "carawayway entry: {}\n", failure.detail);
        return to_int(exit_code::failed);
    }
    instance.wait();
    return to_int(exit_code::done);
}

} // namespace carawayway::cli
