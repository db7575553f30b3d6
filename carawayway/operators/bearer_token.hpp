// The operators' token.
#pragma once

#include <array>
#include <string_view>

namespace carawayway::operators {

class bearer_token {
public:
    // An empty token accepts nothing.
    explicit bearer_token(std::string_view token);

    // `authorization` is the value of the header: "Bearer TOKEN". Takes the same time for every wrong token
    // of one length.
    bool accepts(std::string_view authorization) const;

private:
    using digest = std::array<unsigned char, 32>;

    static digest digest_of(std::string_view text);

    enum class presence : unsigned char { absent, present } m_presence;
    digest m_digest;
};

} // namespace carawayway::operators
