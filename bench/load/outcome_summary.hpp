// Summarizes the outcomes of the requests of a service: counts, and a logarithmic latency histogram of the
// answers.
#pragma once

#include "carawayway/base/time.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace carawayway::bench {

enum class request_end : std::uint8_t { in_time, late, refused, unknown };

struct request_report {
    request_end end = request_end::unknown;
    base::duration latency{};    // from the planned arrival to the end
    std::uint32_t sends = 0;     // attempts by the caller
    std::string reason;          // why the request got no answer
    std::string last_refusal;    // reason of the last attempt that was resent; empty if there was none
    base::time_point finished{}; // when the caller learned the outcome
};

class outcome_summary {
public:
    outcome_summary();

    void add(const request_report& report);
    void merge(const outcome_summary& other);

    std::uint64_t total() const { return m_total; }
    std::uint64_t count(request_end end) const;
    double share(request_end end) const; // of all requests; 0 if there are none
    double sends_per_request() const;
    // Latency percentile of all answers, in time or late, in milliseconds: the upper edge of the bin. 0
    // without answers.
    double percentile(double share) const;
    const std::map<std::string, std::uint64_t>& reasons() const { return m_reasons; }

private:
    using logarithmic_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using latency_histogram = decltype(boost::histogram::make_histogram(std::declval<logarithmic_axis>()));

    latency_histogram m_latency; // milliseconds
    std::map<request_end, std::uint64_t> m_counts;
    std::map<std::string, std::uint64_t> m_reasons;
    std::uint64_t m_total = 0;
    std::uint64_t m_sends = 0;
};

} // namespace carawayway::bench
