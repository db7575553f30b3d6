// Keeps the last policy documents in the store for rollbacks. An index lists them, since all documents
// together may exceed the size limit of a store reply. Best effort: a policy takes effect even if the history
// is not written.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/operators/message_codec.hpp"
#include "carawayway/operators/policy_change.hpp"
#include "carawayway/operators/store_call.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace carawayway::operators {

template <store::config_store Store>
class policy_history {
public:
    static constexpr std::size_t maximum_documents = 20;

    using wall_clock = std::function<std::int64_t()>; // milliseconds since 1970-01-01 UTC

    // `store` must outlive the history.
    policy_history(Store& store, std::string policy_key, wall_clock clock)
        : m_store(store), m_prefix(std::move(policy_key) + "/history/"), m_clock(std::move(clock)) {}

    // Also saves the document that was replaced, since its writer may have failed to do so.
    boost::asio::awaitable<void> save(stored_policy replaced, stored_policy written) {
        for (int attempt = 0; attempt < maximum_attempts; ++attempt) {
            index_state index;
            const bool read = co_await read_index(index);
            if (!read) {
                break;
            }
            co_await add(index, replaced);
            co_await add(index, written);
            const auto outcome = co_await write_index(index);
            if (outcome == store::write_outcome::written) {
                co_await erase_removed_documents(index);
                co_return;
            }
            if (outcome != store::write_outcome::conflict) {
                break;
            }
        }
        base::log(base::log_level::warning, "policy-history-write-failed", {{"revision", written.revision}});
    }

    // The records, newest first; nothing if the store does not answer.
    boost::asio::awaitable<std::optional<revisions_reply>> list() {
        index_state index;
        const bool read = co_await read_index(index);
        if (!read) {
            co_return std::nullopt;
        }
        co_return std::move(index.records);
    }

    // Returns a policy with revision 0 if the history does not have the document; nothing if the store does
    // not answer.
    boost::asio::awaitable<std::optional<stored_policy>> find(std::int64_t revision) {
        auto call = read_key(m_store, key_of(revision));
        auto result = co_await std::move(call);
        if (result.outcome != store::read_outcome::answered) {
            co_return std::nullopt;
        }
        stored_policy found;
        if (!result.values.empty()) {
            found = {revision, std::move(result.values.front().value)};
        }
        co_return found;
    }

private:
    static constexpr int maximum_attempts = 3; // the index may have concurrent writers

    struct index_state {
        std::int64_t store_revision = 0; // 0 if there is no index
        revisions_reply records;
        std::vector<std::int64_t> removed_revisions; // no longer listed; their documents are erased
    };

    std::string key_of(std::int64_t revision) const { return m_prefix + std::to_string(revision); }
    std::string index_key() const { return m_prefix + "index"; }

    boost::asio::awaitable<bool> read_index(index_state& index) {
        auto call = read_key(m_store, index_key());
        auto result = co_await std::move(call);
        if (result.outcome != store::read_outcome::answered) {
            co_return false;
        }
        if (!result.values.empty()) {
            const auto& item = result.values.front();
            index.store_revision = item.mod_revision;
            base::failure ignored; // an invalid index is replaced
            auto decoded = decode<revisions_reply>(item.value, message_encoding::json, ignored);
            if (decoded) {
                index.records = std::move(*decoded);
            }
        }
        co_return true;
    }

    boost::asio::awaitable<void> add(index_state& index, const stored_policy& policy) {
        auto& records = index.records.revisions;
        const bool is_listed = std::any_of(records.begin(), records.end(), [&policy](const auto& record) {
            return record->revision == policy.revision;
        });
        if (policy.revision == 0 || is_listed) {
            co_return;
        }
        auto call = write_key(m_store, key_of(policy.revision), 0, policy.text);
        const auto result = co_await std::move(call);
        // A conflict means that the document already exists.
        if (result.outcome != store::write_outcome::written &&
            result.outcome != store::write_outcome::conflict) {
            co_return;
        }
        const auto summary = summarize(policy);
        auto record = std::make_unique<revision_record>();
        record->revision = policy.revision;
        record->change_id = summary.change_id;
        record->comment = summary.comment;
        record->written_at_ms = m_clock();
        record->bytes = static_cast<std::uint32_t>(policy.text.size());
        records.push_back(std::move(record));
    }

    boost::asio::awaitable<store::write_outcome> write_index(index_state& index) {
        auto& records = index.records.revisions;
        std::sort(records.begin(), records.end(),
                  [](const auto& left, const auto& right) { return left->revision > right->revision; });
        while (records.size() > maximum_documents) {
            index.removed_revisions.push_back(records.back()->revision);
            records.pop_back();
        }
        base::failure failure;
        const auto text = encode(index.records, message_encoding::json, failure);
        if (!text) {
            co_return store::write_outcome::unavailable;
        }
        auto call = write_key(m_store, index_key(), index.store_revision, *text);
        const auto result = co_await std::move(call);
        co_return result.outcome;
    }

    boost::asio::awaitable<void> erase_removed_documents(const index_state& index) {
        for (const auto revision : index.removed_revisions) {
            auto call = erase_key(m_store, key_of(revision));
            const auto result = co_await std::move(call);
            if (result.outcome != store::write_outcome::written) {
                base::log(base::log_level::warning, "policy-history-erase-failed", {{"revision", revision}});
            }
        }
    }

    Store& m_store;
    std::string m_prefix;
    wall_clock m_clock;
};

} // namespace carawayway::operators
