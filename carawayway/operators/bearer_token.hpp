// Checks the bearer token that operators send.
#pragma once

#include <array>
#include <string_view>

namespace carawayway::operators {

class bearer_token {
public:
    // With an empty token, no header is accepted.
    explicit bearer_token(std::string_view token);

    // `authorization` is the value of the Authorization header, "Bearer TOKEN". For tokens of equal length,
    // the time does not depend on their content.
    bool accepts(std::string_view authorization) const;

private:
    using digest = std::array<unsigned char, 32>;

    static digest digest_of(std::string_view text);

    enum class presence : unsigned char { absent, present } m_presence;
    digest m_digest;
};

} // namespace carawayway::operators
