// Counters, gauges and latency histograms with labels, exported in the Prometheus text format.
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

// Not thread-safe. A family keeps at most `series_limit` label sets; observations with further label sets go
// to one series whose label values are all "other", so that label values sent by callers cannot exhaust
// memory.
class metric_registry {
public:
    explicit metric_registry(std::size_t series_limit);

    // Declares a family. Names follow the Prometheus conventions and end with the unit or type (_seconds,
    // _bytes, _total).
    void declare(const std::string& family, metric_type type, const std::string& help);

    void add(const std::string& family, const label_set& labels, double amount = 1.0);
    void set(const std::string& family, const label_set& labels, double value);
    void observe(const std::string& family, const label_set& labels, base::duration value);

    // Removes all series of a gauge family, for gauges that are rebuilt at each scrape.
    void clear(const std::string& family);

    // The upper edge of the bin that contains the quantile (0 to 1), in seconds. Zero when nothing was
    // observed.
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

    series& find_or_create_series(const std::string& name, const label_set& labels);

    std::size_t m_series_limit;
    std::map<std::string, family> m_families;
};

} // namespace carawayway::metrics
