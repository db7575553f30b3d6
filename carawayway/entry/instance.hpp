// One running entry instance: builds the threads, joins them by rings, and stops them in order.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/config/instance_settings.hpp"

#include <memory>
#include <string>

namespace carawayway::entry {

// Secrets named in the settings, already read.
struct instance_secrets {
    std::string deployment_key;
    std::string operator_token; // empty: operators' calls are refused
};

class instance {
public:
    instance(const config::instance_settings& settings, instance_secrets secrets);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;
    instance(instance&&) = delete;
    instance& operator=(instance&&) = delete;

    // Binds all listeners and starts the threads; false with the reason when an address cannot be bound.
    bool start(base::failure& last_failure);

    // Blocks until a graceful stop, begun by SIGTERM or SIGINT or by `request_stop`, is complete.
    void wait();

    // Thread-safe.
    void request_stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace carawayway::entry
