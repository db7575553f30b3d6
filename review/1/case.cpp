// Case 1: a server in trouble ends its chunked answer with a trailer that never ends.
#include "review/stand_ins/case_main.hpp"
#include "review/stand_ins/traffic.hpp"

namespace {

using namespace review;

constexpr milliseconds quiet_time{6000};
constexpr milliseconds trouble_time{6000};
constexpr milliseconds time_after{6000};
constexpr std::size_t part_bytes = 256U << 10U;
constexpr std::size_t most_lost = 3;
constexpr int answers_at_once = 2;
constexpr milliseconds longest_request{3500};

// Bytes that are no answer, without end, in the part of a chunked body behind its last chunk.
reply endless_answer(const http_request& request, std::shared_ptr<review::link> over) {
    reply answer;
    answer.raw_bytes = "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(request["Request-Id"]) +
                       "\r\nResponse-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ";
    answer.endless_part = std::string(part_bytes, 'x');
    answer.over = std::move(over);
    return answer;
}

boost::asio::awaitable<void> play(deployment& system, bool has_trouble, case_outcome& outcome) {
    system.write_configuration(7);
    const bool is_ready = co_await system.start_gateways();
    if (!is_ready) {
        co_return;
    }
    system.watch_processes();
    const auto is_over = std::make_shared<bool>(false);
    start_traffic(system, {}, is_over);
    co_await sleep_for(quiet_time);
    if (has_trouble) {
        system.log().line("trouble begins: one server of six sends two answers without end");
        const auto over = std::make_shared<review::link>(review::link{link_bytes_per_second, {}});
        const auto& first = system.gateway_at(0).name();
        const auto sent = std::make_shared<int>(0);
        system.server_at(0).set_trouble(
            [&system, &first, over, sent](const http_request& request) -> std::optional<reply> {
                const auto end = system.ends().find(std::string(request["Request-Id"]));
                const bool is_of_first = end != system.ends().end() && end->second.gateway == first;
                const bool is_booking = request.method() == http::verb::post;
                if (!is_of_first || !is_booking || *sent == answers_at_once) {
                    return std::nullopt;
                }
                ++*sent;
                return endless_answer(request, over);
            });
    }
    co_await sleep_for(trouble_time);
    system.server_at(0).set_trouble(nullptr);
    system.log().line("trouble ends");
    co_await sleep_for(time_after);
    *is_over = true;
    co_await sleep_for(longest_request);
    system.stop_watching();
    const auto result = judge(system.executions(), system.ends(), {system.server_at(0).id()});
    system.write_summary();
    system.log().line(to_text(result));
    outcome = {true, result.lost > most_lost};
}

} // namespace

int main(int argc, char** argv) {
    deployment_options options;
    for (int number = 1; number <= 6; ++number) {
        options.servers.push_back(
            {"i-" + std::to_string(number), "saatavuus", "hki-a", 12, 36, milliseconds{250}});
    }
    return run_case(argc, argv, options, "LOST", play);
}
