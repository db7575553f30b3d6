// Tests of responses that Beast's parser takes and HTTP does not allow.
#include "carawayway/net/response_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace carawayway::net {
namespace {

namespace http = boost::beast::http;

struct parsed_response {
    boost::system::error_code error; // need_more if the response is not whole
    http::response<http::string_body> message;
};

// Parses a response that arrives in parts of this size.
parsed_response parse(const std::string& bytes, std::size_t part_bytes) {
    response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error = http::error::need_more;
    std::size_t parsed = 0;
    for (auto end = part_bytes; error == http::error::need_more && parsed < bytes.size(); end += part_bytes) {
        end = std::min(end, bytes.size());
        error = {};
        parsed += parser.put(boost::asio::buffer(bytes.data() + parsed, end - parsed), error);
        if (parser.is_done() || (end == bytes.size() && error == http::error::need_more)) {
            break;
        }
    }
    return {error, parser.release()};
}

TEST(response_parser_test, only_statuses_of_the_five_classes_are_taken) {
    for (int status = 0; status <= 999; ++status) {
        auto text = std::to_string(status);
        text.insert(0, 3 - text.size(), '0');
        const auto parsed = parse("HTTP/1.1 " + text + " X\r\nContent-Length: 0\r\n\r\n", 1000);
        const bool is_known = status >= 100 && status <= 599;
        EXPECT_EQ(parsed.error, is_known ? boost::system::error_code{} : http::error::bad_status) << status;
    }
}

} // namespace
} // namespace carawayway::net
