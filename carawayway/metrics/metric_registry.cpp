// Stores the series and formats them as Prometheus text.
#include "carawayway/metrics/metric_registry.hpp"

#include <fmt/format.h>

#include <cassert>
#include <utility>

namespace carawayway::metrics {

namespace {

// Ten bins per decade from 0.1 ms to 10 s: the upper edge of a bin is at most 26% above any value in it.
constexpr unsigned bin_count = 50;
constexpr double lowest_edge_seconds = 1e-4;
constexpr double highest_edge_seconds = 10.0;

std::string escape(std::string_view text) {
    std::string escaped;
    for (const char character : text) {
        if (character == '\\' || character == '"') {
            escaped += '\\';
        }
        if (character == '\n') {
            escaped += "\\n";
        } else {
            escaped += character;
        }
    }
    return escaped;
}

std::string format_labels(const label_set& labels, std::string_view bucket = {}) {
    std::string text;
    for (const auto& item : labels) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", item.name, escape(item.value));
    }
    if (!bucket.empty()) {
        text += fmt::format("{}le=\"{}\"", text.empty() ? "" : ",", bucket);
    }
    return text.empty() ? text : "{" + text + "}";
}

std::string_view type_name(metric_type type) {
    switch (type) {
    case metric_type::counter:
        return "counter";
    case metric_type::gauge:
        return "gauge";
    case metric_type::histogram:
        break;
    }
    return "histogram";
}

} // namespace

metric_registry::series::series()
    : bins(boost::histogram::make_histogram(
          logarithmic_axis(bin_count, lowest_edge_seconds, highest_edge_seconds))) {}

metric_registry::metric_registry(std::size_t series_limit) : m_series_limit(series_limit) {}

void metric_registry::declare(const std::string& family_name, metric_type type, const std::string& help) {
    auto& declared = m_families[family_name];
    declared.type = type;
    declared.help = help;
}

metric_registry::series& metric_registry::find_or_create_series(const std::string& name,
                                                                const label_set& labels) {
    const auto found = m_families.find(name);
    assert(found != m_families.end());
    auto& by_labels = found->second.by_labels;
    if (const auto existing = by_labels.find(labels); existing != by_labels.end()) {
        return existing->second;
    }
    if (by_labels.size() < m_series_limit) {
        return by_labels[labels];
    }
    label_set overflow = labels;
    for (auto& item : overflow) {
        item.value = "other";
    }
    return by_labels[overflow];
}

void metric_registry::add(const std::string& family_name, const label_set& labels, double amount) {
    find_or_create_series(family_name, labels).value += amount;
}

void metric_registry::set(const std::string& family_name, const label_set& labels, double value) {
    find_or_create_series(family_name, labels).value = value;
}

void metric_registry::observe(const std::string& family_name, const label_set& labels, base::duration value) {
    auto& target = find_or_create_series(family_name, labels);
    const double seconds = base::to_seconds(value);
    target.sum_seconds += seconds;
    target.bins(seconds);
}

void metric_registry::clear(const std::string& family_name) {
    m_families[family_name].by_labels.clear();
}

double metric_registry::quantile(const std::string& family_name, const label_set& labels,
                                 double quantile) const {
    const auto found = m_families.find(family_name);
    if (found == m_families.end()) {
        return 0.0;
    }
    const auto existing = found->second.by_labels.find(labels);
    if (existing == found->second.by_labels.end()) {
        return 0.0;
    }
    const auto& bins = existing->second.bins;
    double total = 0.0;
    for (int bin = -1; bin <= static_cast<int>(bin_count); ++bin) {
        total += bins.at(bin);
    }
    double seen = 0.0;
    for (int bin = -1; bin < static_cast<int>(bin_count); ++bin) {
        seen += bins.at(bin);
        if (seen > 0.0 && seen >= quantile * total) {
            return bin < 0 ? lowest_edge_seconds : bins.axis().bin(bin).upper();
        }
    }
    return total > 0.0 ? highest_edge_seconds : 0.0;
}

std::string metric_registry::to_prometheus() const {
    std::string text;
    for (const auto& [name, declared] : m_families) {
        text +=
            fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, declared.help, name, type_name(declared.type));
        for (const auto& [labels, values] : declared.by_labels) {
            if (declared.type != metric_type::histogram) {
                text += fmt::format("{}{} {}\n", name, format_labels(labels), values.value);
                continue;
            }
            double cumulative = values.bins.at(-1);
            for (int bin = 0; bin < static_cast<int>(bin_count); ++bin) {
                cumulative += values.bins.at(bin);
                const auto edge = fmt::format("{:.6g}", values.bins.axis().bin(bin).upper());
                text += fmt::format("{}_bucket{} {}\n", name, format_labels(labels, edge), cumulative);
            }
            cumulative += values.bins.at(static_cast<int>(bin_count));
            text += fmt::format("{}_bucket{} {}\n", name, format_labels(labels, "+Inf"), cumulative);
            text += fmt::format("{}_sum{} {}\n", name, format_labels(labels), values.sum_seconds);
            text += fmt::format("{}_count{} {}\n", name, format_labels(labels), cumulative);
        }
    }
    return text;
}

} // namespace carawayway::metrics
