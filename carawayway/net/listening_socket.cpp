// Binds listening sockets, and tells which failures may pass.
#include "carawayway/net/listening_socket.hpp"

#include <sstream>

namespace carawayway::net {

boost::asio::ip::tcp::acceptor listen_on(const boost::asio::any_io_executor& executor,
                                         const boost::asio::ip::tcp::endpoint& address) {
    boost::asio::ip::tcp::acceptor acceptor(executor);
    boost::system::error_code error;
    acceptor.open(address.protocol(), error);
    if (!error) {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(address, error);
    }
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        std::ostringstream text;
        text << address;
        throw boost::system::system_error(error.value(), error.category(), text.str());
    }
    return acceptor;
}

bool is_address_unavailable(const boost::system::error_code& error) {
    return error == boost::asio::error::address_in_use || error == boost::system::errc::address_not_available;
}

} // namespace carawayway::net
