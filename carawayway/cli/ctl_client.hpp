// Sends the calls of operators.fbs to an entry instance and maps failures to exit codes and messages.
#pragma once

#include "carawayway/base/error_kind.hpp"
#include "carawayway/base/time.hpp"
#include "carawayway/cli/exit_code.hpp"
#include "carawayway/operators/message_codec.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawayway::cli {

// Whether a call changes anything. A change whose reply is lost may have taken effect.
enum class call_effect : std::uint8_t { reads, writes };

// Why a call has no reply.
struct ctl_failure {
    exit_code code = exit_code::failed;
    std::optional<base::error_kind> kind; // set when an entry instance refused the call
    std::string text;                     // human-readable, one or more lines
    std::string body;                     // the problem document; empty when there was none

    bool operator==(const ctl_failure&) const = default;
};

// The exit code for a refusal of this kind.
exit_code exit_code_for(base::error_kind kind);

class ctl_client {
public:
    // Uses the flags --operator, --token_file and --timeout_ms. Prints an error and returns std::nullopt when
    // the token cannot be read.
    static std::optional<ctl_client> from_flags();

    // Sends one operator call and returns the JSON body of the reply.
    std::optional<std::string> post(std::string_view call, std::string_view binary, call_effect effect,
                                    ctl_failure& failure) const;

    // Fetches a page that needs no token, such as /metrics.
    std::optional<std::string> page(std::string_view target, ctl_failure& failure) const;

    // Encodes the request, sends it and decodes the reply. Stores the JSON text in `raw` when it is not null.
    template <class Reply, class Request>
    std::optional<Reply> call(std::string_view name, const Request& request, call_effect effect,
                              ctl_failure& failure, std::string* raw = nullptr) const {
        base::failure reason;
        const auto body = operators::encode(request, operators::message_encoding::binary, reason);
        const auto text = post(name, *body, effect, failure);
        if (!text) {
            return std::nullopt;
        }
        if (raw != nullptr) {
            *raw = *text;
        }
        auto reply = operators::decode<Reply>(*text, operators::message_encoding::json, reason);
        if (!reply) {
            const auto code = effect == call_effect::writes ? exit_code::outcome_unknown : exit_code::failed;
            failure = {code, std::nullopt, "cannot decode the reply: " + reason.detail, {}};
        }
        return reply;
    }

private:
    ctl_client(std::string address, std::string token, base::duration timeout);

    std::string m_address;
    std::string m_token;
    base::duration m_timeout;
};

// Prints the failure, as its problem document with --json, and returns the exit code.
int report(const ctl_failure& failure);

// The actions of `carawayway ctl`; `arguments` are the words after the action.
int ctl_apply(const ctl_client& client, const std::vector<std::string>& arguments);
int ctl_get(const ctl_client& client, const std::vector<std::string>& arguments);
int ctl_revisions(const ctl_client& client, const std::vector<std::string>& arguments);
int ctl_rollback(const ctl_client& client, const std::vector<std::string>& arguments);
int ctl_status(const ctl_client& client, const std::vector<std::string>& arguments);
int ctl_shifts(const ctl_client& client, const std::vector<std::string>& arguments);
int ctl_metrics(const ctl_client& client, const std::vector<std::string>& arguments);
int ctl_drain(const ctl_client& client, const std::vector<std::string>& arguments);
int ctl_undrain(const ctl_client& client, const std::vector<std::string>& arguments);
int ctl_shift(const ctl_client& client, const std::vector<std::string>& arguments);
int ctl_explain(const ctl_client& client, const std::vector<std::string>& arguments);

// Prints the result of a change and, with --wait, waits until it is in force. `raw` is the JSON text of the
// reply.
int finish_change(const ctl_client& client, const operators::change_reply& reply, const std::string& raw);

} // namespace carawayway::cli
