// Guards the encoding of keys and values: the store would keep a wrongly encoded one.
#include "carawayway/json/base64.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace carawayway::json {
namespace {

TEST(base64_test, matches_the_test_vectors_of_rfc_4648) {
    const std::pair<const char*, const char*> vectors[] = {{"", ""},
                                                           {"f", "Zg=="},
                                                           {"fo", "Zm8="},
                                                           {"foo", "Zm9v"},
                                                           {"foob", "Zm9vYg=="},
                                                           {"fooba", "Zm9vYmE="},
                                                           {"foobar", "Zm9vYmFy"},
                                                           {"\xff\xfe\xfd", "//79"}};
    for (const auto& [bytes, text] : vectors) {
        EXPECT_EQ(base64_encode(bytes), text);
        EXPECT_EQ(base64_decode(text), bytes);
    }
}

TEST(base64_test, text_that_is_not_canonical_is_rejected) {
    for (const char* const text : {"Zg=", "Zg", "Z", "Zh==", "Zm9=", "====", "Zg==Zg==", "Z g=", "Zm-v"}) {
        EXPECT_FALSE(base64_decode(text).has_value()) << text;
    }
}

TEST(base64_test, decoding_reverses_encoding_for_any_bytes) {
    EXPECT_TRUE(
        rc::check([](const std::string& bytes) { RC_ASSERT(base64_decode(base64_encode(bytes)) == bytes); }));
}

} // namespace
} // namespace carawayway::json
