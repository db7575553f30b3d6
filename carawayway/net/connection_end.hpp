// Tells whether a peer has ended its side of a connection or has reset it, where the read alone does not.
#pragma once

#include <boost/asio/error.hpp>

namespace carawayway::net {

// Whether the end of the input is one that the peer has sent, so that a message that lasts until then is
// whole. `write_error` is that of the write on the same connection, if it has failed.
//
// The kernel reports a reset or a time-out of the connection once, and to the pending write if there is one;
// the read then finds the end of the input, as behind an orderly end. A write that fails with EPIPE was
// refused after the peer had ended its side.
inline bool is_end_by_peer(const boost::system::error_code& write_error) {
    return !write_error || write_error == boost::asio::error::broken_pipe;
}

} // namespace carawayway::net
