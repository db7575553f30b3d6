// HTTP towards backend servers. Runs on the backend thread.
#pragma once

#include "carawayway/entry/backend_event.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace carawayway::entry {

// Keeps idle connections per server. A connection carries one request at a time and is reused only after a
// whole answer with nothing behind it: an answer that arrives late can then never reach another request.
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
