// Counters, gauges and latency histograms by label, written in the Prometheus text form.
#pragma once

#include "carawayway/base/time.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace carawayway::metrics {

struct label {
    std::string name;
    std::string value;

    bool operator==(const label&) const = default;
    bool operator<(const label& other) const {
        return std::tie(name, value) < std::tie(other.name, other.value);
    }
};

using label_set = std::vector<label>;

enum class metric_type : std::uint8_t { counter, gauge, histogram };

// Owned by one thread. A family keeps at most `series_limit` label sets; observations beyond go to one
// series whose label values are all "other", so that hostile label values cannot exhaust memory.
class metric_registry {
public:
    explicit metric_registry(std::size_t series_limit);

    // Declares a family; names follow the Prometheus rules, units are part of the name (_seconds, _bytes,
    // _total).
    void declare(const std::string& family, metric_type type, const std::string& help);

    void add(const std::string& family, const label_set& labels, double amount = 1.0);
    void set(const std::string& family, const label_set& labels, double value);
    void observe(const std::string& family, const label_set& labels, base::duration value);

    // Removes the series of a gauge family, for gauges that are written anew on each scrape.
    void clear(const std::string& family);

    // Zero when nothing was observed. `quantile` in 0..1; the answer is the upper edge of its bin, in
    // seconds.
    double quantile(const std::string& family, const label_set& labels, double quantile) const;

    std::string to_prometheus() const;

private:
    using logarithmic_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using latency_histogram = decltype(boost::histogram::make_histogram(std::declval<logarithmic_axis>()));

    struct series {
        double value = 0.0;       // counters and gauges
        double sum_seconds = 0.0; // histograms
        latency_histogram bins;

        series();
    };

    struct family {
        metric_type type = metric_type::counter;
        std::string help;
        std::map<label_set, series> by_labels;
    };

    series& find_series(const std::string& name, const label_set& labels);

    std::size_t m_series_limit;
    std::map<std::string, family> m_families;
};

} // namespace carawayway::metrics
