// Limits of the parts of an HTTP message around its body. The parser limits the head alone: it waits for the
// end of the line before a chunk, and of the trailer, however long they are.
#pragma once

#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>

namespace carawayway::net {

// Maximum size of a connection's read buffer, which must hold a whole head, chunk line or trailer.
inline constexpr std::size_t maximum_read_buffer_bytes = 32U << 10U;

// Ends the parsing of a message whose chunks have too many bytes of extensions. Lives as long as the parser
// is used.
class chunk_extension_limit {
public:
    // Of all chunks of one message together.
    static constexpr std::size_t maximum_bytes = 8U << 10U;

    template <class Parser>
    explicit chunk_extension_limit(Parser& parser) {
        parser.on_chunk_header(*this);
    }
    chunk_extension_limit(const chunk_extension_limit&) = delete;
    chunk_extension_limit(chunk_extension_limit&&) = delete;
    chunk_extension_limit& operator=(const chunk_extension_limit&) = delete;
    chunk_extension_limit& operator=(chunk_extension_limit&&) = delete;
    ~chunk_extension_limit() = default;

    // Called by the parser for each chunk.
    void operator()(std::uint64_t /*chunk_bytes*/, boost::beast::string_view extensions,
                    boost::system::error_code& error) {
        m_bytes += extensions.size();
        if (m_bytes > maximum_bytes) {
            error = boost::beast::http::error::header_limit;
        }
    }

private:
    std::size_t m_bytes = 0;
};

} // namespace carawayway::net
