// Watches the policy and polls the platform's instance list in the store while this entry instance is one of
// the store watchers of its failure domain. Runs on the control thread.
#pragma once

#include "carawayway/base/log.hpp"
#include "carawayway/config/instance_settings.hpp"
#include "carawayway/engine/effect.hpp"
#include "carawayway/entry/control_event.hpp"
#include "carawayway/entry/instance_list.hpp"
#include "carawayway/store/config_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace carawayway::entry {

template <store::config_store Store>
class store_watcher {
public:
    using report_function = std::function<void(control_event)>;

    // `store` outlives the watcher.
    store_watcher(boost::asio::io_context& context, Store& store, const config::instance_settings& settings,
                  report_function report)
        : m_store(store), m_policy_key(settings.policy_key), m_instance_prefix(settings.instance_prefix),
          m_list_interval(settings.instance_list_interval), m_report(std::move(report)),
          m_retry_timer(context), m_list_timer(context) {}

    void set_state(engine::store_watch state) {
        if (state == m_state) {
            return;
        }
        m_state = state;
        ++m_generation;
        m_watch.cancel();
        m_retry_timer.cancel();
        m_list_timer.cancel();
        if (state == engine::store_watch::on) {
            m_retry_delay = minimum_retry_delay;
            read_policy();
            read_instances();
        }
    }

private:
    static constexpr base::duration minimum_retry_delay = std::chrono::milliseconds(200);
    static constexpr base::duration maximum_retry_delay = std::chrono::seconds(5);

    // Wraps a handler so that it does nothing once the state has changed: it then belongs to a watch that was
    // switched off in the meantime.
    template <class Handler>
    auto if_state_unchanged(Handler handler) {
        return [this, generation = m_generation, handler = std::move(handler)](auto&&... arguments) {
            if (generation == m_generation) {
                handler(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

    void read_policy() {
        m_store.range(m_policy_key, "", if_state_unchanged([this](store::range_result result) {
                          if (result.outcome != store::read_outcome::answered) {
                              retry(result.detail);
                              return;
                          }
                          m_retry_delay = minimum_retry_delay;
                          for (auto& item : result.values) {
                              m_report(policy_received{item.mod_revision, std::move(item.value)});
                          }
                          open_watch(result.revision + 1);
                      }));
    }

    void open_watch(std::int64_t start_revision) {
        m_next_revision = start_revision;
        m_watch = m_store.watch(
            m_policy_key, "", start_revision, if_state_unchanged([this](store::watch_batch batch) {
                m_retry_delay = minimum_retry_delay;
                for (auto& event : batch.events) {
                    m_next_revision = std::max(m_next_revision, event.item.mod_revision + 1);
                    if (event.kind == store::watch_event_kind::put) {
                        m_report(policy_received{event.item.mod_revision, std::move(event.item.value)});
                    }
                }
            }),
            if_state_unchanged([this](const store::watch_closed& closed) {
                if (closed.reason == store::watch_end::expired) {
                    open_watch(m_next_revision);
                    return;
                }
                retry(closed.detail);
            }));
    }

    void retry(const std::string& reason) {
        base::log(base::log_level::warning, "store-unavailable", {{"detail", reason}});
        m_retry_timer.expires_after(m_retry_delay);
        m_retry_delay = std::min(2 * m_retry_delay, maximum_retry_delay);
        m_retry_timer.async_wait(if_state_unchanged([this](const boost::system::error_code& error) {
            if (!error) {
                read_policy();
            }
        }));
    }

    // Polls instead of watching: the list changes rarely and may be out of date in any case, so that a late
    // update does no harm, and polling costs less than a watch on every record.
    void read_instances() {
        m_store.range(m_instance_prefix, prefix_end(m_instance_prefix),
                      if_state_unchanged([this](const store::range_result& result) {
                          if (result.outcome == store::read_outcome::answered) {
                              m_report(instances_received{parse_instances(result.values)});
                          }
                          m_list_timer.expires_after(m_list_interval);
                          m_list_timer.async_wait(
                              if_state_unchanged([this](const boost::system::error_code& error) {
                                  if (!error) {
                                      read_instances();
                                  }
                              }));
                      }));
    }

    Store& m_store;
    std::string m_policy_key;
    std::string m_instance_prefix;
    base::duration m_list_interval;
    report_function m_report;
    boost::asio::steady_timer m_retry_timer;
    boost::asio::steady_timer m_list_timer;
    engine::store_watch m_state = engine::store_watch::off;
    std::uint64_t m_generation = 0; // incremented with each change of state
    base::duration m_retry_delay = minimum_retry_delay;
    std::int64_t m_next_revision = 0;
    store::cancel_handle m_watch;
};

} // namespace carawayway::entry
