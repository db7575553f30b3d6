// Tests of responses that Beast's parser takes and HTTP does not allow.
#include "carawayway/net/response_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

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
    boost::system::error_code error;
    std::size_t parsed = 0;
    for (std::size_t end = 0; end < bytes.size() && !parser.is_done();) {
        end = std::min(end + part_bytes, bytes.size());
        parsed += parser.put(boost::asio::buffer(bytes.data() + parsed, end - parsed), error);
        if (error && error != http::error::need_more) {
            break;
        }
    }
    if (!error && !parser.is_done()) {
        error = http::error::need_more;
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

// Guards against the use of a head whose fields another recipient reads in another way.
TEST(response_parser_test, a_name_with_a_blank_or_a_control_byte_is_refused) {
    const std::string status_line = "HTTP/1.1 200 OK\r\n";
    const std::string first = "Server: s\r\n";
    const std::string empty = "Server:\r\n";
    std::vector<std::string> names{"X Y", "X ", "X\t", "\x80X", "X\xff", " ", "", "X\r\n Y"};
    for (char byte = 0; byte <= ' '; ++byte) {
        const std::string text(1, byte);
        names.insert(names.end(), {text + "X", "X" + text + "Y", "X" + text});
    }
    names.emplace_back("X\x7f");
    for (const auto& name : names) {
        const auto line = name + ": 1\r\n";
        for (const auto& fields : {line, first + line, empty + line, line + first}) {
            const auto plain = fmt::format("{}{}Content-Length: 2\r\n\r\nok", status_line, fields);
            const auto trailing =
                fmt::format("{}Transfer-Encoding: chunked\r\n\r\n0\r\n{}\r\n", status_line, fields);
            for (const std::size_t part_bytes : {1U, 7U, 1000U}) {
                const auto whole = parse(plain, part_bytes);
                EXPECT_TRUE(whole.error && whole.error != http::error::need_more) << plain;
                const auto chunked = parse(trailing, part_bytes);
                EXPECT_TRUE(chunked.error && chunked.error != http::error::need_more) << trailing;
            }
        }
    }
}

TEST(response_parser_test, other_fields_are_kept_as_they_are) {
    const std::string bytes = "HTTP/1.1 299 Fine by me\r\nA:1\r\nB: \t two words \r\nC:\r\nD: \r\n"
                              "E: a  b\tc\r\nContent-Length: 2\r\n\r\nok";
    for (std::size_t part_bytes = 1; part_bytes <= bytes.size(); ++part_bytes) {
        const auto [error, message] = parse(bytes, part_bytes);
        EXPECT_FALSE(error);
        EXPECT_EQ(message.result_int(), 299U);
        EXPECT_EQ(message.reason(), "Fine by me");
        EXPECT_EQ(message.version(), 11U);
        EXPECT_EQ(message["A"], "1");
        EXPECT_EQ(message["B"], "two words");
        EXPECT_EQ(message.count("C"), 1U);
        EXPECT_EQ(message["C"], "");
        EXPECT_EQ(message["D"], "");
        EXPECT_EQ(message["E"], "a  b\tc");
        EXPECT_EQ(message.body(), "ok");
    }
}

} // namespace
} // namespace carawayway::net
