// Counts outcomes and computes percentiles from histogram bins.
#include "bench/load/outcome_summary.hpp"

#include <boost/histogram/algorithm/sum.hpp>
#include <boost/histogram/indexed.hpp>

#include <cmath>

namespace carawayway::bench {

namespace {

// The bins are about 1% wide, which limits the error of a percentile to 1%.
constexpr unsigned bins = 1600;
constexpr double lowest_milliseconds = 0.01;
constexpr double highest_milliseconds = 100000.0;

} // namespace

outcome_summary::outcome_summary()
    : m_latency(boost::histogram::make_histogram(
          logarithmic_axis(bins, lowest_milliseconds, highest_milliseconds))) {}

void outcome_summary::add(const request_report& report) {
    ++m_total;
    ++m_counts[report.end];
    m_sends += report.sends;
    if (report.end == request_end::in_time || report.end == request_end::late) {
        m_latency(1000.0 * base::to_seconds(report.latency));
    }
    if (!report.reason.empty()) {
        ++m_reasons[report.reason];
    }
    if (!report.last_refusal.empty()) {
        ++m_reasons["resent after " + report.last_refusal];
    }
}

void outcome_summary::merge(const outcome_summary& other) {
    m_total += other.m_total;
    m_sends += other.m_sends;
    m_latency += other.m_latency;
    for (const auto& [end, number] : other.m_counts) {
        m_counts[end] += number;
    }
    for (const auto& [reason, number] : other.m_reasons) {
        m_reasons[reason] += number;
    }
}

std::uint64_t outcome_summary::count(request_end end) const {
    const auto found = m_counts.find(end);
    return found == m_counts.end() ? 0 : found->second;
}

double outcome_summary::share(request_end end) const {
    return m_total == 0 ? 0.0 : static_cast<double>(count(end)) / static_cast<double>(m_total);
}

double outcome_summary::sends_per_request() const {
    return m_total == 0 ? 0.0 : static_cast<double>(m_sends) / static_cast<double>(m_total);
}

double outcome_summary::percentile(double share) const {
    const double all = boost::histogram::algorithm::sum(m_latency);
    if (all <= 0.0) {
        return 0.0;
    }
    const double wanted = std::ceil(share * all);
    double passed = 0.0;
    for (auto&& bin : boost::histogram::indexed(m_latency, boost::histogram::coverage::all)) {
        passed += *bin;
        if (passed >= wanted) {
            return std::isfinite(bin.bin().upper()) ? bin.bin().upper() : highest_milliseconds;
        }
    }
    return highest_milliseconds;
}

} // namespace carawayway::bench
