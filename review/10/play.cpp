// The operator adds a route to a service that has served longer requests on its first route. Nothing is
// wrong.
#include "review/world_2/stage.hpp"

#include <boost/json/src.hpp>

#include <atomic>
#include <mutex>

namespace {

using namespace std::chrono_literals;

// Figures of ktl-tiski-grown: shade-hold goes to varaus, and price-list at times.
constexpr auto order_work = 1728ms;
constexpr int order_timeout_ms = 2000;
constexpr auto price_work = 528ms;
constexpr int price_timeout_ms = 1200;
constexpr std::size_t order_clients = 6;
constexpr std::size_t price_clients = 3;
constexpr auto settled = 6s; // after the change; configApplyMs is 2.5 s
constexpr auto measured = 20s;

std::string routes(int version, bool has_prices) {
    const auto route = [](std::string_view prefix, std::string_view kind, int timeout, int target) {
        return fmt::format(
            R"({{"name":"r{}","prefix":"{}","kind":"{}","timeoutMs":{},"targetLatencyMs":{},)"
            R"("priority":1,"service":"varaus","maxAttempts":2,"sticky":true,"allowedRegions":[]}})",
            prefix, prefix, kind, timeout, target);
    };
    const auto prices = has_prices ? "," + route("/price/", "safe", price_timeout_ms, 300) : std::string();
    return fmt::format(
        R"({{"version":"{:08x}","services":[{{"name":"varaus","healthPath":"/health","maxConns":1320,)"
        R"("protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":14.0}}],"limits":{{"maxHeaderBytes":16384,)"
        R"("maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},)"
        R"("hosts":[{{"host":"shop.example","paths":[{}{}]}}]}})",
        version, route("/order/", "unsafe", order_timeout_ms, 1000), prices);
}

struct outcome {
    bool is_price = false;
    double sent_at = 0.0;
    int status = 0; // 0: no answer
    bool has_stamp = false;
};

class traffic {
public:
    traffic(review::stage& stage, std::vector<std::uint16_t> ports)
        : m_stage(stage), m_ports(std::move(ports)) {}

    void start(bool are_prices, std::size_t clients) {
        for (std::size_t index = 0; index < clients; ++index) {
            m_threads.emplace_back([this, are_prices, index] { send_requests(are_prices, index); });
        }
    }

    void stop() {
        m_is_over = true;
        for (auto& thread : m_threads) {
            thread.join();
        }
    }

    // The share of the requests of one route that was served; nothing was sent: 0.
    double served_share(bool are_prices, double from, double until, std::size_t& sent) {
        const std::lock_guard lock(m_mutex);
        std::size_t served = 0;
        sent = 0;
        for (const auto& item : m_outcomes) {
            if (item.is_price == are_prices && item.sent_at >= from && item.sent_at < until) {
                ++sent;
                served += item.status == 200 && item.has_stamp ? 1U : 0U;
            }
        }
        return sent == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(sent);
    }

private:
    void send_requests(bool are_prices, std::size_t client) {
        for (std::size_t number = 0; !m_is_over; ++number) {
            send_request(are_prices, client, client * 1000 + number, m_ports.at(number % m_ports.size()));
            std::this_thread::sleep_for(500ms);
        }
    }

    void send_request(bool is_price, std::size_t client, std::size_t object, std::uint16_t port) {
        outcome result{is_price, m_stage.log.seconds()};
        const auto id = fmt::format("{}-{}", is_price ? "price" : "order", object);
        std::string text = "no connection";
        const int connection = review::connect_to(port);
        if (connection >= 0) {
            review::set_timeout(connection, 9000ms);
            const auto first = is_price ? "GET /price/" : "POST /order/";
            const auto last = is_price ? "Deadline-Ms: 2000\r\n\r\n"
                                       : "Deadline-Ms: 8000\r\nContent-Length: 12\r\n\r\n{\"pieces\":1}";
            review::send_all(connection,
                             fmt::format("{}{} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\nCookie: "
                                         "Affinity-Key={}\r\n{}",
                                         first, object, id, is_price ? 100'000 + object : object, last));
            review::reader input(connection);
            const auto answer = input.read_head();
            text = answer ? input.read_body(answer->content_length()) : std::string("no answer");
            result.status = answer ? answer->status() : 0;
            result.has_stamp = answer && !answer->header("response-stamp").empty();
            ::close(connection);
        }
        m_stage.log.write("client {} gets {} for {} {}", client, result.status, id,
                          result.status == 200 ? std::string() : text);
        const std::lock_guard lock(m_mutex);
        m_outcomes.push_back(result);
    }

    review::stage& m_stage;
    std::vector<std::uint16_t> m_ports;
    std::atomic<bool> m_is_over = false;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::vector<outcome> m_outcomes;
};

} // namespace

int main(int argc, char** argv) {
    review::stage stage(argc > 1 ? argv[1] : "record.txt");
    const bool is_added_later = review::has_trouble();
    if (!stage.open(routes(7, !is_added_later))) {
        return review::could_not_run;
    }
    const auto work = [&stage](review::server& self, int connection, review::reader& input,
                               const review::message_head& request) {
        input.read_body(request.content_length());
        const bool is_price = request.target().rfind("/price/", 0) == 0;
        stage.log.write("server {} runs {}", self.id(), request.header("request-id"));
        std::this_thread::sleep_for(is_price ? price_work : order_work);
        return self.answer(connection, request, "done");
    };
    std::vector<std::shared_ptr<review::server>> servers;
    for (const auto* const zone : {"hki-a", "hki-b", "tre-a", "tre-b", "oulu-a", "oulu-b"}) {
        servers.push_back(stage.add_server(fmt::format("i-a-{}", zone), "varaus", zone, work));
        servers.push_back(stage.add_server(fmt::format("i-b-{}", zone), "varaus", zone, work));
    }
    std::vector<std::unique_ptr<review::gateway>> gateways;
    gateways.push_back(stage.add_gateway("front-hki-a-1", "hki-a"));
    gateways.push_back(stage.add_gateway("front-tre-a-1", "tre-a"));
    const auto is_missing = [](const auto& item) { return item == nullptr; };
    if (std::any_of(servers.begin(), servers.end(), is_missing) ||
        std::any_of(gateways.begin(), gateways.end(), is_missing)) {
        gateways.clear();
        stage.finish(review::could_not_run);
    }
    traffic requests(stage, {gateways[0]->caller_port(), gateways[1]->caller_port()});
    if (!is_added_later) {
        requests.start(true, price_clients);
    }
    requests.start(false, order_clients);
    std::this_thread::sleep_for(8s);
    if (is_added_later) {
        stage.entries.put("op/config", routes(12, true));
        stage.log.write("the store has version 12, with the route /price/");
        std::this_thread::sleep_for(3s); // longer than configApplyMs
        requests.start(true, price_clients);
        std::this_thread::sleep_for(settled - 3s);
    } else {
        std::this_thread::sleep_for(settled);
    }
    const auto from = stage.log.seconds();
    std::this_thread::sleep_for(measured);
    const auto until = stage.log.seconds();
    requests.stop();
    gateways.clear();

    // CONFIG: in steady state, machines in touch get 20 or more requests on routes that were added later, and
    // serve them less than a quarter as often as those on the first routes.
    std::size_t orders = 0;
    std::size_t prices = 0;
    const auto orders_served = requests.served_share(false, from, until, orders);
    const auto prices_served = requests.served_share(true, from, until, prices);
    stage.log.write("first route: {:.2f} of {} served; the other one: {:.2f} of {}", orders_served, orders,
                    prices_served, prices);
    const bool can_judge = prices >= 20 && orders >= 20 && orders_served > 0.5;
    stage.finish(!can_judge                             ? review::could_not_run
                 : prices_served < orders_served * 0.25 ? review::rule_broken
                                                        : review::rule_held);
}
