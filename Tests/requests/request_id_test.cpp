// Guards against two different texts that are parsed as the same ID, since a request could then run twice,
// and against malformed input.
#include "carawayway/requests/request_id.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace carawayway::requests {
namespace {

rc::Gen<std::string> random_text(const std::string& alphabet, std::size_t limit) {
    return rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, limit + 1), [alphabet](std::size_t size) {
        return rc::gen::container<std::string>(size, rc::gen::elementOf(alphabet));
    });
}

RC_GTEST_PROP(request_id_test, formatting_and_parsing_are_inverse, ()) {
    const std::string lower = "abcdefghijklmnopqrstuvwxyz0123456789-";
    const request_id id{*random_text(lower, entry_name_limit), *rc::gen::arbitrary<std::uint64_t>(),
                        std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000)),
                        *random_text(lower + "ABCDEFGHIJKLMNOPQRSTUVWXYZ_", nonce_limit)};
    base::failure reason;
    RC_ASSERT(parse_request_id(to_string(id), reason) == id);
}

RC_GTEST_PROP(request_id_test, an_accepted_text_is_canonical, ()) {
    std::string text = "e-1.00000000000000af.1234.N_-";
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    text[position] = *rc::gen::arbitrary<char>();
    base::failure reason;
    const auto id = parse_request_id(text, reason);
    if (id) {
        RC_ASSERT(to_string(*id) == text);
    } else {
        RC_ASSERT(reason.kind == base::error_kind::request_id_invalid);
    }
}

TEST(request_id_test, malformed_texts_are_refused) {
    const std::string longest = std::string(entry_name_limit, 'e') + ".0123456789abcdef.999999999999." +
                                std::string(nonce_limit, 'n');
    base::failure reason;
    ASSERT_TRUE(parse_request_id(longest, reason).has_value());
    for (const std::string& text :
         {longest + "n", "e" + longest, std::string("e.0123456789abcdef.1"),
          std::string("e.0123456789abcdef.1."), std::string(".0123456789abcdef.1.n"),
          std::string("e.0123456789abcde.1.n"), std::string("e.0123456789ABCDEF.1.n"),
          std::string("e.0123456789abcdef..n"), std::string("e.0123456789abcdef.01.n"),
          std::string("e.0123456789abcdef.-1.n"), std::string("e.0123456789abcdef.1000000000000.n"),
          std::string("e.0123456789abcdef.1.n.n"), std::string("e.0123456789abcdef.1.n\0", 23),
          std::string("E.0123456789abcdef.1.n")}) {
        EXPECT_FALSE(parse_request_id(text, reason).has_value()) << text;
        EXPECT_EQ(reason.kind, base::error_kind::request_id_invalid) << text;
    }
    EXPECT_FALSE(parse_request_id("", reason).has_value());
    EXPECT_EQ(reason.kind, base::error_kind::request_id_missing);
}

} // namespace
} // namespace carawayway::requests
