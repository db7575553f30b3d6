// Parses responses, and refuses those that are no HTTP although Beast's parser takes them.
#pragma once

#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

namespace carawayway::net {

// Takes the place of boost::beast::http::response_parser. It refuses a status without a class, and a head or
// trailer with a line that begins with a blank.
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

    // Also called for the fields of a trailer.
    void on_field_impl(boost::beast::http::field field, string_view name, string_view value,
                       boost::system::error_code& error) override {
        if (!is_on_line_of(name, value)) {
            error = boost::beast::http::error::bad_field;
            return;
        }
        this->get().insert(field, name, value);
    }

    // Whether the value is the rest of the line that begins with the name, as both are parts of the input.
    // The parser joins a line that begins with a blank to the value before it, which was once a way to fold
    // long values. To other recipients the line is a field, which may say where the body ends.
    static bool is_on_line_of(string_view name, string_view value) {
        // Behind the colon. The input has the whole line, which ends with no blank.
        const char* begin = name.data() + name.size() + 1;
        while (*begin == ' ' || *begin == '\t') {
            ++begin;
        }
        return value.data() == begin;
    }
};

} // namespace carawayway::net
