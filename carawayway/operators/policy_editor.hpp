// Reads and changes the policy in the store. A change is written at most once, with compare-and-swap. If the
// reply is lost, the editor reads the policy back to find out whether the write took effect.
#pragma once

#include "carawayway/operators/policy_history.hpp"
#include "carawayway/operators/policy_text.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace carawayway::operators {

enum class change_mode : std::uint8_t { write, dry_run };

template <store::config_store Store>
class policy_editor {
public:
    using wall_clock = typename policy_history<Store>::wall_clock;
    // Returns the document after a change, or nothing, with the reason in the error, if the change is
    // rejected.
    using edit_function = std::function<std::optional<std::string>(const std::string&, call_error&)>;

    // `store` must outlive the editor, and the editor must outlive the work of its executor.
    policy_editor(boost::asio::any_io_executor executor, Store& store, std::string policy_key,
                  wall_clock clock)
        : m_executor(std::move(executor)), m_store(store), m_key(policy_key),
          m_history(store, std::move(policy_key), std::move(clock)) {}

    // On failure, each of the following returns nothing and sets `error`, which must outlive the call.

    boost::asio::awaitable<std::optional<stored_policy>> read_current(call_error& error) {
        auto call = read_key(m_store, m_key);
        auto result = co_await std::move(call);
        if (result.outcome != store::read_outcome::answered) {
            error.kind = base::error_kind::store_unavailable;
            error.detail = std::move(result.detail);
            co_return std::nullopt;
        }
        stored_policy policy;
        if (!result.values.empty()) {
            policy = {result.values.front().mod_revision, std::move(result.values.front().value)};
        }
        co_return policy;
    }

    boost::asio::awaitable<std::optional<stored_policy>> read_revision(std::int64_t revision,
                                                                       call_error& error) {
        auto call = m_history.find(revision);
        auto found = co_await std::move(call);
        if (!found) {
            error.kind = base::error_kind::store_unavailable;
            error.detail = "the store does not answer";
        } else if (found->revision == 0) {
            error.kind = base::error_kind::not_found;
            error.detail = "revision " + std::to_string(revision) + " is not in the history";
            found.reset();
        }
        co_return found;
    }

    boost::asio::awaitable<std::optional<revisions_reply>> list_revisions(call_error& error) {
        auto policy = co_await read_current(error);
        if (!policy) {
            co_return std::nullopt;
        }
        auto call = m_history.list();
        auto list = co_await std::move(call);
        if (!list) {
            error.kind = base::error_kind::store_unavailable;
            error.detail = "the store does not answer";
            co_return std::nullopt;
        }
        add_if_missing(*policy, *list);
        co_return list;
    }

    boost::asio::awaitable<std::optional<change_reply>> apply(apply_policy_request request, entry_names known,
                                                              call_error& error) {
        auto previous = co_await read_current(error);
        if (!previous) {
            co_return std::nullopt;
        }
        if (previous->revision != 0 && previous->text == request.policy) {
            co_return make_reply(change_outcome::unchanged, *previous, previous->revision);
        }
        if (previous->revision != request.expected_revision) {
            set_conflict(*previous, request.expected_revision, error);
            co_return std::nullopt;
        }
        const auto mode = request.dry_run ? change_mode::dry_run : change_mode::write;
        auto call = replace(std::move(*previous), std::move(request.policy), mode, std::move(known), error);
        auto reply = co_await std::move(call);
        co_return reply;
    }

    // Reads, changes and writes the policy. Retries from the start if another writer replaced it meanwhile.
    boost::asio::awaitable<std::optional<change_reply>> edit(edit_function change, change_mode mode,
                                                             entry_names known, call_error& error) {
        for (int attempt = 0;; ++attempt) {
            error = {};
            auto previous = co_await read_current(error);
            if (!previous) {
                co_return std::nullopt;
            }
            if (previous->revision == 0) {
                error.kind = base::error_kind::not_found;
                error.detail = "there is no policy yet";
                co_return std::nullopt;
            }
            auto edited = change(previous->text, error);
            if (!edited) {
                co_return std::nullopt;
            }
            if (*edited == previous->text) {
                co_return make_reply(change_outcome::unchanged, *previous, previous->revision);
            }
            auto call = replace(std::move(*previous), with_fresh_change_id(*edited), mode, known, error);
            auto reply = co_await std::move(call);
            if (reply || error.kind != base::error_kind::policy_conflict ||
                attempt + 1 == maximum_edit_attempts) {
                co_return reply;
            }
        }
    }

private:
    static constexpr int maximum_edit_attempts = 4;

    static change_reply make_reply(change_outcome outcome, const stored_policy& policy,
                                   std::int64_t previous_revision) {
        change_reply reply;
        reply.outcome = outcome;
        reply.revision = policy.revision;
        reply.change_id = summarize(policy).change_id;
        reply.previous_revision = previous_revision;
        return reply;
    }

    static void set_conflict(const stored_policy& policy, std::int64_t expected, call_error& error) {
        error.kind = base::error_kind::policy_conflict;
        error.current = summarize(policy);
        error.detail =
            fmt::format("expected revision {}, but the store has revision {} with change ID \"{}\"", expected,
                        policy.revision, error.current->change_id);
    }

    static void add_if_missing(const stored_policy& policy, revisions_reply& list) {
        auto& records = list.revisions;
        if (policy.revision == 0 || (!records.empty() && records.front()->revision >= policy.revision)) {
            return;
        }
        const auto summary = summarize(policy);
        auto record = std::make_unique<revision_record>();
        record->revision = summary.revision;
        record->change_id = summary.change_id;
        record->comment = summary.comment;
        record->bytes = static_cast<std::uint32_t>(policy.text.size());
        records.insert(records.begin(), std::move(record));
    }

    boost::asio::awaitable<std::optional<change_reply>> replace(stored_policy previous, std::string text,
                                                                change_mode mode, entry_names known,
                                                                call_error& error) {
        const auto content = check_change(text, previous, known, error);
        if (!content) {
            co_return std::nullopt;
        }
        if (mode == change_mode::dry_run) {
            co_return make_reply(change_outcome::would_change, {previous.revision, std::move(text)},
                                 previous.revision);
        }
        auto call = write_key(m_store, m_key, previous.revision, text);
        const auto result = co_await std::move(call);
        stored_policy written{result.revision, std::move(text)};
        if (result.outcome != store::write_outcome::written) {
            auto resolution = resolve_outcome(result, previous, written, error);
            const bool resolved = co_await std::move(resolution);
            if (!resolved) {
                co_return std::nullopt;
            }
        }
        auto reply = make_reply(change_outcome::written, written, previous.revision);
        boost::asio::co_spawn(m_executor, m_history.save(std::move(previous), std::move(written)),
                              boost::asio::detached);
        co_return reply;
    }

    // Returns true, and sets the revision of `written`, if the document was written after all.
    boost::asio::awaitable<bool> resolve_outcome(const store::write_result& result,
                                                 const stored_policy& previous, stored_policy& written,
                                                 call_error& error) {
        if (result.outcome == store::write_outcome::unavailable) {
            error.kind = base::error_kind::store_unavailable;
            error.detail = result.detail;
            co_return false;
        }
        call_error read_error;
        const auto found = co_await read_current(read_error);
        if (found && found->text == written.text) {
            written.revision = found->revision;
            co_return true;
        }
        if (result.outcome == store::write_outcome::conflict) {
            set_conflict(found.value_or(stored_policy{}), previous.revision, error);
            if (!found) {
                error.current.reset();
                error.detail = "another change was written first";
            }
            co_return false;
        }
        const bool was_replaced = co_await was_written_and_replaced(found, written);
        if (was_replaced) {
            co_return true;
        }
        error.kind = base::error_kind::store_outcome_unknown;
        error.detail = "the reply from the store was lost";
        if (found) {
            error.current = summarize(*found);
            error.detail += found->revision == previous.revision ? "; the policy has not changed so far"
                                                                 : "; another change has been written";
        }
        co_return false;
    }

    // Whether the history shows that the document was written and has been replaced since. If so, sets the
    // revision of `written`.
    boost::asio::awaitable<bool> was_written_and_replaced(const std::optional<stored_policy>& found,
                                                          stored_policy& written) {
        if (!found) {
            co_return false;
        }
        auto list_call = m_history.list();
        const auto list = co_await std::move(list_call);
        if (!list) {
            co_return false;
        }
        const auto change_id = summarize(written).change_id;
        for (const auto& record : list->revisions) {
            if (record->change_id != change_id) {
                continue;
            }
            auto find_call = m_history.find(record->revision);
            const auto kept_policy = co_await std::move(find_call);
            if (kept_policy && kept_policy->revision != 0 && kept_policy->text == written.text) {
                written.revision = kept_policy->revision;
                co_return true;
            }
        }
        co_return false;
    }

    boost::asio::any_io_executor m_executor;
    Store& m_store;
    std::string m_key;
    policy_history<Store> m_history;
};

} // namespace carawayway::operators
