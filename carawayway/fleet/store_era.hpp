// Tracks the era of the store by its answers.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/base/time.hpp"

#include <cstdint>
#include <optional>

namespace carawayway::fleet {

// How the era of an answer relates to the known one.
enum class era_order : std::uint8_t {
    current,
    newer, // the store was restored from an older copy, or this is the first answer with an era
    older, // the answer was given before the store was restored, and must not be used
};

class store_era {
public:
    // An older era that is seen this often in a row is not that of late answers.
    static constexpr std::uint32_t maximum_older_answers = 3;
    static constexpr base::duration log_interval = std::chrono::minutes{1};

    std::int64_t known() const { return m_known; }

    // Records the era of an answer. One that is missing or invalid counts as the known one.
    era_order observe(std::optional<std::int64_t> era, base::time_point now) {
        if (!era || *era < 0) {
            // A store that never tells an era needs no log line.
            if (m_known > 0) {
                log_invalid("era missing or invalid", era, now);
            }
            return era_order::current;
        }
        if (*era >= m_known) {
            m_older_answers = 0;
            const auto order = *era > m_known ? era_order::newer : era_order::current;
            m_known = *era;
            return order;
        }
        log_invalid("era lower than known", era, now);
        m_older_answers += m_older_answers < maximum_older_answers ? 1 : 0;
        return m_older_answers < maximum_older_answers ? era_order::older : era_order::current;
    }

private:
    void log_invalid(std::string_view reason, std::optional<std::int64_t> era, base::time_point now) {
        if (m_logged_at && now < *m_logged_at + log_interval) {
            return;
        }
        m_logged_at = now;
        base::log(base::log_level::warning, "store-era-ignored",
                  {{"reason", reason}, {"era", era.value_or(-1)}, {"known", m_known}});
    }

    std::int64_t m_known = 0; // never falls
    std::uint32_t m_older_answers = 0;
    std::optional<base::time_point> m_logged_at;
};

} // namespace carawayway::fleet
