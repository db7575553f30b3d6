// A fake store on loopback; the test determines the reaction to each call.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace carawayway::gateway {

enum class store_reaction : std::uint8_t {
    answer,
    stay_silent, // the connection stays open
    close,
};

struct scripted_answer {
    store_reaction reaction = store_reaction::answer;
    std::string body;
    std::string era{}; // of the store; no header if empty
    boost::beast::http::status status = boost::beast::http::status::ok;
};

class scripted_store {
public:
    using call_handler = std::function<scripted_answer(const std::string& target)>;
    using disconnect_handler = std::function<void(const std::string& target)>;

    // `on_disconnect` is called with the target of an unanswered call when the client closes its connection.
    scripted_store(boost::asio::io_context& context, call_handler on_call, disconnect_handler on_disconnect)
        : m_acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}), m_on_call(std::move(on_call)),
          m_on_disconnect(std::move(on_disconnect)) {
        accept_next();
    }

    boost::asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}

        boost::asio::ip::tcp::socket socket;
        boost::beast::flat_buffer buffer;
        boost::beast::http::request<boost::beast::http::string_body> request;
        boost::beast::http::response<boost::beast::http::string_body> response;
        std::string unanswered_target;
    };

    void accept_next() {
        m_acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            read_next(std::make_shared<connection>(std::move(socket)));
            accept_next();
        });
    }

    void read_next(const std::shared_ptr<connection>& client) {
        client->request = {};
        boost::beast::http::async_read(client->socket, client->buffer, client->request,
                                       [this, client](boost::system::error_code error, std::size_t) {
                                           if (error) {
                                               if (!client->unanswered_target.empty()) {
                                                   m_on_disconnect(client->unanswered_target);
                                               }
                                               return;
                                           }
                                           react(client);
                                       });
    }

    void react(const std::shared_ptr<connection>& client) {
        const std::string target(client->request.target());
        const auto answer = m_on_call(target);
        if (answer.reaction == store_reaction::close) {
            return;
        }
        if (answer.reaction == store_reaction::stay_silent) {
            client->unanswered_target = target;
            read_next(client);
            return;
        }
        client->response = {answer.status, 11};
        if (!answer.era.empty()) {
            client->response.set("Store-Era", answer.era);
        }
        client->response.body() = answer.body;
        client->response.prepare_payload();
        boost::beast::http::async_write(client->socket, client->response,
                                        [this, client](boost::system::error_code error, std::size_t) {
                                            if (!error) {
                                                read_next(client);
                                            }
                                        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    call_handler m_on_call;
    disconnect_handler m_on_disconnect;
};

} // namespace carawayway::gateway
