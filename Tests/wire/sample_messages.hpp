// Sample messages of every kind for tests of the codec and the peer links.
#pragma once

#include "carawayway/wire/messages.hpp"

#include <vector>

namespace carawayway::wire {

inline request sample_request() {
    return {"varaus",
            "hki-a-1.0123456789abcdef.60000.n1",
            "uusimaa",
            "association",
            1500,
            "POST",
            "/service/varaus/counter/7?from=1&to=2",
            {{"Accept", "*/*"}, {"X-Empty", ""}},
            std::string("\0body\xff", 6),
            0xfeedfacecafebeefULL};
}

inline std::vector<peer_message> sample_messages() {
    hello sample_hello{"hki-a-1", "hki-a", "uusimaa", 77, {}, {"127.0.0.1", 8080}, {"::1", 9090}};
    sample_hello.nonce.fill(std::byte{0x5a});
    hello_proof proof;
    proof.mac.fill(std::byte{0xa5});
    const server_claim owned{"varaus-1", 3, claim_state::owned};
    const server_claim unconfirmed{"varaus-2", 9, claim_state::unconfirmed};
    const heartbeat full{
        12, running_state::starting, 4, std::vector{owned, unconfirmed}, {{"tre-a-1", 5, 99}}};
    const service_summary summary{"varaus", 3, 48, 45, 2, 8500, {{"uusimaa", 120.5}, {"pirkanmaa", 0}}};
    const outcome answer{std::nullopt, base::execution_state::executed,
                         201,          {{"Content-Type", "text/plain"}},
                         "done",       0,
                         "varaus-1",   ""};
    const outcome refusal{base::error_kind::peer_refused,
                          base::execution_state::not_executed,
                          503,
                          {},
                          "",
                          250,
                          "",
                          "no free slot"};
    return {sample_hello,
            proof,
            full,
            heartbeat{13, running_state::running, 4, std::nullopt, {}},
            heartbeat{14, running_state::stopping, 5, std::vector<server_claim>{}, {}},
            claims_request{7, 4, {owned}},
            claims_report{7, 8, {}, {{"hki-a-2", 6, unconfirmed}}},
            member_list{{{"tre-a-1", "tre-a", "pirkanmaa", 5, {"127.0.0.1", 1}, {"127.0.0.1", 2}}}},
            entry_summary{{summary}, {"varaus-9"}},
            policy_request{},
            policy_document{42, "[service varaus]\n"},
            forward_request{1, sample_request()},
            execute_request{2, sample_request()},
            request_result{2, answer},
            request_result{3, refusal},
            cancel_request{2},
            strike{11, 2, "hki-a-1"},
            strike_cleared{11, "hki-a-1"},
            drain_notice{"varaus-3", drain_evidence::server_answer}};
}

} // namespace carawayway::wire
