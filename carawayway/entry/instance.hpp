// A running entry instance: creates its threads, connects them through inboxes, and stops them in order.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/config/instance_settings.hpp"

#include <memory>
#include <string>

namespace carawayway::entry {

// Contents of the secret files that the settings name.
struct instance_secrets {
    std::string deployment_key;
    std::string operator_token; // when empty, all operator calls are rejected
};

class instance {
public:
    instance(const config::instance_settings& settings, instance_secrets secrets);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;
    instance(instance&&) = delete;
    instance& operator=(instance&&) = delete;

    // Binds all listeners and starts the threads. Returns false and sets `last_failure` when an address
    // cannot be bound.
    bool start(base::failure& last_failure);

    // Blocks until a graceful stop is complete. SIGTERM, SIGINT or `request_stop` starts it.
    void wait();

    // May be called from any thread.
    void request_stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawayway::entry
