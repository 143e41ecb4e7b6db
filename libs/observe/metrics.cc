#include "observe/metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cicadaward {
namespace {

    namespace accumulators = boost::accumulators;

    constexpr std::array<double, 3> probabilities { 0.5, 0.9, 0.99 };

    // The algorithm keeps 2n+3 markers for n probabilities and has no estimate before all of them are set.
    constexpr size_t markerCount = 2 * probabilities.size() + 3;

    using Accumulator = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::mean, accumulators::tag::min, accumulators::tag::max,
            accumulators::tag::extended_p_square>>;

    // Seconds. A latency objective between two bounds is judged to within a factor of two or two and a half.
    constexpr std::array<double, 13> histogramBounds { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5,
        10 };

    using ThreadSafeCount = boost::histogram::accumulators::thread_safe<uint64_t>;

    auto makeBucketCounts()
    {
        // Lower bounds are part of a bin, but a bucket includes its upper bound: the next value above each starts one.
        std::vector<double> edges { 0 };
        for (double bound : histogramBounds)
            edges.push_back(std::nextafter(bound, 2 * bound));
        return boost::histogram::make_histogram_with(
            boost::histogram::dense_storage<ThreadSafeCount>(), boost::histogram::axis::variable<double>(edges));
    }

    std::string prometheusName(const std::string& name)
    {
        std::string result = "cicadaward_";
        for (char c : name)
            result += std::isalnum(static_cast<unsigned char>(c)) ? c : '_';
        return result;
    }

} // namespace

struct Histogram::State {
    decltype(makeBucketCounts()) counts = makeBucketCounts();
    std::atomic<uint64_t> sumNanoseconds { 0 };
};

Histogram::Histogram()
    : m_state(std::make_unique<State>())
{
}

Histogram::~Histogram() = default;

void Histogram::add(std::chrono::nanoseconds duration)
{
    duration = std::max(duration, std::chrono::nanoseconds::zero());
    m_state->counts(std::chrono::duration<double>(duration).count());
    m_state->sumNanoseconds.fetch_add(static_cast<uint64_t>(duration.count()), std::memory_order_relaxed);
}

std::vector<Histogram::Bucket> Histogram::buckets() const
{
    std::vector<Bucket> result;
    uint64_t count = 0;
    for (size_t i = 0; i <= histogramBounds.size(); ++i) {
        bool isLast = i == histogramBounds.size();
        count += m_state->counts.at(static_cast<int>(i)).load();
        result.push_back({ isLast ? std::numeric_limits<double>::infinity() : histogramBounds[i], count });
    }
    return result;
}

double Histogram::sumSeconds() const
{
    return static_cast<double>(m_state->sumNanoseconds.load(std::memory_order_relaxed)) * 1e-9;
}

struct Quantiles::State {
    Accumulator accumulator { accumulators::extended_p_square_probabilities = probabilities };
    std::array<double, markerCount> firstValues {};
};

Quantiles::Quantiles()
    : m_state(std::make_unique<State>())
{
}

Quantiles::~Quantiles() = default;

void Quantiles::add(double value)
{
    if (!std::isfinite(value))
        return;
    const std::lock_guard<std::mutex> lock(m_mutex);
    const size_t count = accumulators::count(m_state->accumulator);
    if (count < markerCount)
        m_state->firstValues[count] = value;
    m_state->accumulator(value);
}

Quantiles::Summary Quantiles::summary() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Accumulator& accumulator = m_state->accumulator;
    const size_t count = accumulators::count(accumulator);
    if (count == 0)
        return {};
    std::array<double, probabilities.size()> values {};
    if (count <= markerCount) {
        std::array<double, markerCount> sorted = m_state->firstValues;
        std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(count));
        for (size_t i = 0; i < values.size(); ++i)
            values[i] = sorted[std::min(count - 1, static_cast<size_t>(probabilities[i] * static_cast<double>(count)))];
    } else {
        for (size_t i = 0; i < values.size(); ++i)
            values[i] = accumulators::extended_p_square(accumulator)[static_cast<std::ptrdiff_t>(i)];
    }
    return { count, accumulators::mean(accumulator), accumulators::min(accumulator), accumulators::max(accumulator),
        values[0], values[1], values[2] };
}

Counter& MetricRegistry::counter(const std::string& name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_counters[name];
}

Gauge& MetricRegistry::gauge(const std::string& name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_gauges[name];
}

Quantiles& MetricRegistry::quantiles(const std::string& name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_quantiles[name];
}

Histogram& MetricRegistry::histogram(const std::string& name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_histograms[name];
}

std::string MetricRegistry::text() const
{
    std::ostringstream out;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [name, metric] : m_counters) {
        std::string fullName = prometheusName(name) + "_total";
        out << "# TYPE " << fullName << " counter\n" << fullName << ' ' << metric.value() << '\n';
    }
    for (const auto& [name, metric] : m_gauges)
        out << "# TYPE " << prometheusName(name) << " gauge\n" << prometheusName(name) << ' ' << metric.value() << '\n';
    for (const auto& [name, metric] : m_quantiles) {
        const Quantiles::Summary summary = metric.summary();
        std::string fullName = prometheusName(name);
        out << "# TYPE " << fullName << " summary\n";
        out << fullName << "{quantile=\"0.5\"} " << summary.p50 << '\n';
        out << fullName << "{quantile=\"0.9\"} " << summary.p90 << '\n';
        out << fullName << "{quantile=\"0.99\"} " << summary.p99 << '\n';
        out << fullName << "_sum " << summary.mean * static_cast<double>(summary.count) << '\n';
        out << fullName << "_count " << summary.count << '\n';
    }
    for (const auto& [name, metric] : m_histograms) {
        std::string fullName = prometheusName(name) + "_seconds";
        out << "# TYPE " << fullName << " histogram\n";
        std::vector<Histogram::Bucket> buckets = metric.buckets();
        for (const Histogram::Bucket& bucket : buckets) {
            out << fullName << "_bucket{le=\"";
            std::isinf(bucket.upperSeconds) ? out << "+Inf" : out << bucket.upperSeconds;
            out << "\"} " << bucket.count << '\n';
        }
        out << fullName << "_sum " << metric.sumSeconds() << '\n'
            << fullName << "_count " << buckets.back().count << '\n';
    }
    return out.str();
}

std::string MetricRegistry::json() const
{
    nlohmann::json counters = nlohmann::json::object();
    nlohmann::json gauges = nlohmann::json::object();
    nlohmann::json quantiles = nlohmann::json::object();
    nlohmann::json histograms = nlohmann::json::object();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& [name, metric] : m_counters)
            counters[name] = metric.value();
        for (const auto& [name, metric] : m_gauges)
            gauges[name] = metric.value();
        for (const auto& [name, metric] : m_quantiles) {
            const Quantiles::Summary s = metric.summary();
            quantiles[name] = { { "count", s.count }, { "mean", s.mean }, { "min", s.smallest }, { "max", s.largest },
                { "p50", s.p50 }, { "p90", s.p90 }, { "p99", s.p99 } };
        }
        for (const auto& [name, metric] : m_histograms) {
            nlohmann::json list = nlohmann::json::array();
            std::vector<Histogram::Bucket> buckets = metric.buckets();
            for (const Histogram::Bucket& bucket : buckets)
                list.push_back({ bucket.upperSeconds, bucket.count }); // infinity is written as null
            histograms[name]
                = { { "count", buckets.back().count }, { "sum", metric.sumSeconds() }, { "buckets", list } };
        }
    }
    const nlohmann::json all { { "counters", counters }, { "gauges", gauges }, { "quantiles", quantiles },
        { "histograms", histograms } };
    return all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cicadaward
