// Blocking sockets on loopback addresses, and HTTP/1.1 messages as they stand on the wire.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace review {

using clock = std::chrono::steady_clock;

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// Returns a listening socket at a free port, or -1.
inline int listen_at_free_port(std::uint16_t& port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(descriptor, 512) != 0 ||
        ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return -1;
    }
    port = ntohs(address.sin_port);
    return descriptor;
}

inline void set_timeout(int descriptor, std::chrono::milliseconds limit) {
    const auto milliseconds = limit.count();
    timeval value{milliseconds / 1000, (milliseconds % 1000) * 1000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
}

// Returns a connected socket, or -1. `receive_buffer` is that of the kernel; 0 leaves it as it is.
inline int connect_to(std::uint16_t port, int receive_buffer = 0) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return -1;
    }
    if (receive_buffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

inline bool send_all(int descriptor, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

// Closes the connection with a reset, as the kernel does for a process that crashes with unread bytes.
inline void reset_connection(int descriptor) {
    const linger at_once{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    ::close(descriptor);
}

struct message_head {
    std::string start_line;
    std::map<std::string, std::string> headers; // names in lower case

    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::size_t content_length() const {
        return static_cast<std::size_t>(std::strtoull(header("content-length").c_str(), nullptr, 10));
    }
    // Of a request.
    std::string method() const { return start_line.substr(0, start_line.find(' ')); }
    std::string target() const {
        const auto first = start_line.find(' ');
        const auto second = start_line.find(' ', first + 1);
        return first == std::string::npos ? std::string() : start_line.substr(first + 1, second - first - 1);
    }
    // Of a response; 0 if it has none.
    int status() const {
        const auto space = start_line.find(' ');
        return space == std::string::npos
                   ? 0
                   : static_cast<int>(std::strtol(start_line.c_str() + space, nullptr, 10));
    }
};

// Reads a connection through a buffer.
class reader {
public:
    explicit reader(int descriptor) : m_descriptor(descriptor) {}

    // Nothing at the end of the connection, or when the time of the socket is over.
    std::optional<message_head> read_head() {
        auto end = m_buffer.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!fill(4096)) {
                return std::nullopt;
            }
            end = m_buffer.find("\r\n\r\n");
        }
        const auto text = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        message_head head;
        std::size_t at = 0;
        while (at < text.size()) {
            const auto line_end = text.find("\r\n", at);
            const auto line = text.substr(at, line_end - at);
            at = line_end + 2;
            const auto colon = line.find(':');
            if (head.start_line.empty()) {
                head.start_line = line;
            } else if (colon != std::string::npos) {
                auto name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(),
                               [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
                const auto value_begin = line.find_first_not_of(' ', colon + 1);
                head.headers[name] =
                    value_begin == std::string::npos ? std::string() : line.substr(value_begin);
            }
        }
        return head;
    }

    // Reads up to this many bytes of a body; fewer at the end of the connection.
    std::string read_body(std::size_t count) {
        while (m_buffer.size() < count && fill(std::min<std::size_t>(count - m_buffer.size(), 65536))) {
        }
        const auto body = m_buffer.substr(0, count);
        m_buffer.erase(0, body.size());
        return body;
    }

private:
    bool fill(std::size_t most) {
        std::string chunk(most, '\0');
        const auto count = ::recv(m_descriptor, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            return false;
        }
        m_buffer.append(chunk, 0, static_cast<std::size_t>(count));
        return true;
    }

    int m_descriptor;
    std::string m_buffer;
};

} // namespace review
