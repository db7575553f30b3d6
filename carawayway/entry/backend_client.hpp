// HTTP client for backend servers. Runs on the backend thread.
#pragma once

#include "carawayway/entry/backend_event.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace carawayway::entry {

// Keeps idle connections per server. A connection carries one request at a time and is reused only after a
// complete response without extra bytes, so that a late response cannot be taken for that of another request.
class backend_client {
public:
    using report_function = std::function<void(backend_event)>;

    backend_client(boost::asio::io_context& context, report_function report);
    ~backend_client();
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;
    backend_client(backend_client&&) = delete;
    backend_client& operator=(backend_client&&) = delete;

    void handle(backend_command command);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace carawayway::entry
