// Counts the arrivals within each rest.
#include "Tests/soak/rest_limit.hpp"

#include <algorithm>
#include <utility>

namespace carawayway::soak {

std::size_t most_arrivals_within_rest(const std::vector<arrival>& arrivals,
                                      const std::map<std::string, std::size_t>& gateway_of_request) {
    // By server and gateway, in the order of time.
    std::map<std::pair<std::string, std::size_t>, std::vector<const arrival*>> sequences;
    for (const auto& item : arrivals) {
        if (const auto gateway = gateway_of_request.find(item.request_id);
            gateway != gateway_of_request.end()) {
            sequences[{item.server, gateway->second}].push_back(&item);
        }
    }
    std::size_t most = 0;
    for (const auto& [ends, sequence] : sequences) {
        for (const auto* const asking : sequence) {
            const auto from = asking->at + time_to_heed_rest;
            const auto to = asking->at + asking->rest_asked;
            const auto count = std::count_if(sequence.begin(), sequence.end(), [&](const arrival* item) {
                return item->at > from && item->at < to;
            });
            most = std::max(most, static_cast<std::size_t>(count));
        }
    }
    return most;
}

} // namespace carawayway::soak
