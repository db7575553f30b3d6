// What all cases need: the record, a temporary folder, the store and the servers of a small deployment.
#pragma once

#include "review/world_2/gateway.hpp"
#include "review/world_2/record.hpp"
#include "review/world_2/server.hpp"
#include "review/world_2/store.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace review {

// Exit codes of a script.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

// False: the same play without the disruption.
inline bool has_trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

class stage {
public:
    explicit stage(const std::string& record_path) : log(record_path) {
        std::signal(SIGPIPE, SIG_IGN);
        std::string pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
        const char* const made = ::mkdtemp(pattern.data());
        m_folder = made == nullptr ? std::string() : pattern;
    }
    stage(const stage&) = delete;
    stage(stage&&) = delete;
    stage& operator=(const stage&) = delete;
    stage& operator=(stage&&) = delete;
    ~stage() = default;

    // Starts the store with a configuration. Returns whether it could.
    bool open(const std::string& first_configuration) {
        if (!log.is_open() || m_folder.empty() || !entries.start()) {
            return false;
        }
        entries.put("op/config", first_configuration);
        return true;
    }

    std::shared_ptr<server> add_server(const std::string& id, const std::string& service,
                                       const std::string& zone, server::work run,
                                       std::chrono::milliseconds cold = {}) {
        auto added = std::make_shared<server>(id, service, zone, entries, std::move(run), cold);
        return added->start() ? added : nullptr;
    }

    std::unique_ptr<gateway> add_gateway(const std::string& name, const std::string& zone) {
        auto added = std::make_unique<gateway>(name, zone, m_folder, entries.port());
        const bool is_up = added->start() && added->wait_until_ready();
        log.write("gateway {} is {}", name, is_up ? "ready" : "not ready");
        return is_up ? std::move(added) : nullptr;
    }

    // Ends this process, whose threads may still wait for connections. The gateways have ended before.
    [[noreturn]] void finish(int code) {
        log.write("exit {}", code);
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
        std::_Exit(code);
    }

    record log;
    store entries;

private:
    std::string m_folder;
};

} // namespace review
