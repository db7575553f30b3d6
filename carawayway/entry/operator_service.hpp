// HTTP server for operators: metrics, status and policy. Runs on the control thread and listens on an address
// of its own.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/config/instance_settings.hpp"
#include "carawayway/entry/control_event.hpp"
#include "carawayway/store/etcd_json_store.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace carawayway::entry {

class operator_service {
public:
    using submit_function = std::function<void(control_event)>;

    // `store` outlives the service. With an empty token all calls are rejected; /health, /ready and /metrics
    // need no token.
    operator_service(boost::asio::io_context& context, store::etcd_json_store& store,
                     const config::instance_settings& settings, const std::string& token,
                     submit_function submit);
    ~operator_service();
    operator_service(const operator_service&) = delete;
    operator_service& operator=(const operator_service&) = delete;
    operator_service(operator_service&&) = delete;
    operator_service& operator=(operator_service&&) = delete;

    // Returns false and sets `last_failure` when the address cannot be bound.
    bool listen(const config::socket_address& address, base::failure& last_failure);
    config::socket_address listening_address() const;

    // Takes the reply to a `status_requested`, `metrics_requested` or `explain_requested` event of this
    // service.
    void deliver(control_reply reply);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace carawayway::entry
