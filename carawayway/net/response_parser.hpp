// Parses responses, and refuses those that are no HTTP although Beast's parser takes them.
#pragma once

#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

namespace carawayway::net {

// Used as boost::beast::http::response_parser.
template <class Body>
class response_parser : public boost::beast::http::response_parser<Body> {
    using string_view = boost::beast::string_view;

public:
    static constexpr int lowest_status = 100;
    static constexpr int highest_status = 599;

private:
    // A status of no class does not say whether a body follows, or what became of the request.
    void on_response_impl(int status, string_view reason, int version,
                          boost::system::error_code& error) override {
        if (status < lowest_status || status > highest_status) {
            error = boost::beast::http::error::bad_status;
            return;
        }
        auto& message = this->get();
        message.result(static_cast<unsigned>(status));
        message.reason(reason);
        message.version(static_cast<unsigned>(version));
    }
};

} // namespace carawayway::net
