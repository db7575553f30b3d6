// The last policy documents, kept in the store for rollbacks. An index lists them, because the documents
// together can be larger than one reply of the store may be. Best effort: a policy is in force without it.
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
    static constexpr std::size_t kept_documents = 20;

    using wall_clock = std::function<std::int64_t()>; // milliseconds since 1970-01-01 UTC

    // `store` outlives the history.
    policy_history(Store& store, std::string policy_key, wall_clock clock)
        : m_store(store), m_prefix(std::move(policy_key) + "/history/"), m_clock(std::move(clock)) {}

    // The document that was replaced is kept as well: its writer may have failed to keep it.
    boost::asio::awaitable<void> keep(stored_policy replaced, stored_policy written) {
        for (int attempt = 0; attempt < attempts; ++attempt) {
            index_state index;
            const bool read = co_await read_index(index);
            if (!read) {
                break;
            }
            co_await add(index, replaced);
            co_await add(index, written);
            const auto outcome = co_await write_index(index);
            if (outcome == store::write_outcome::written) {
                co_await erase_dropped(index);
                co_return;
            }
            if (outcome != store::write_outcome::conflict) {
                break;
            }
        }
        base::log(base::log_level::warning, "policy-history-not-written", {{"revision", written.revision}});
    }

    // Newest first; nothing when the store does not answer.
    boost::asio::awaitable<std::optional<revisions_reply>> list() {
        index_state index;
        const bool read = co_await read_index(index);
        if (!read) {
            co_return std::nullopt;
        }
        co_return std::move(index.records);
    }

    // A policy with revision 0 when the document is not kept; nothing when the store does not answer.
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
    static constexpr int attempts = 3; // against other writers of the index

    struct index_state {
        std::int64_t store_revision = 0;
        revisions_reply records;
        std::vector<std::int64_t> dropped;
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
            base::failure ignored; // an unreadable index is replaced
            auto decoded = decode<revisions_reply>(item.value, message_encoding::json, ignored);
            if (decoded) {
                index.records = std::move(*decoded);
            }
        }
        co_return true;
    }

    boost::asio::awaitable<void> add(index_state& index, const stored_policy& policy) {
        auto& records = index.records.revisions;
        const bool known = std::any_of(records.begin(), records.end(), [&policy](const auto& record) {
            return record->revision == policy.revision;
        });
        if (policy.revision == 0 || known) {
            co_return;
        }
        auto call = write_key(m_store, key_of(policy.revision), 0, policy.text);
        const auto result = co_await std::move(call);
        // A conflict says that the document is there already.
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
        while (records.size() > kept_documents) {
            index.dropped.push_back(records.back()->revision);
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

    boost::asio::awaitable<void> erase_dropped(const index_state& index) {
        for (const auto revision : index.dropped) {
            auto call = erase_key(m_store, key_of(revision));
            const auto result = co_await std::move(call);
            if (result.outcome != store::write_outcome::written) {
                base::log(base::log_level::warning, "policy-history-not-erased", {{"revision", revision}});
            }
        }
    }

    Store& m_store;
    std::string m_prefix;
    wall_clock m_clock;
};

} // namespace carawayway::operators
