#include "observe/metrics.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <nlohmann/json.hpp>

namespace cicadaward {
namespace {

    namespace accumulators = boost::accumulators;

    constexpr std::array<double, 3> probabilities { 0.5, 0.9, 0.99 };

    // The algorithm keeps 2n+3 markers for n probabilities and has no estimate before all of them are set.
    constexpr size_t markerCount = 2 * probabilities.size() + 3;

    using Accumulator = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::mean, accumulators::tag::min, accumulators::tag::max,
            accumulators::tag::extended_p_square>>;

} // namespace

struct Quantiles::State {
    Accumulator accumulator { accumulators::extended_p_square_probabilities = probabilities };
    std::array<double, markerCount> first {};
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
        m_state->first[count] = value;
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
        std::array<double, markerCount> sorted = m_state->first;
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

std::string MetricRegistry::json() const
{
    nlohmann::json counters = nlohmann::json::object();
    nlohmann::json gauges = nlohmann::json::object();
    nlohmann::json quantiles = nlohmann::json::object();
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
    }
    const nlohmann::json all { { "counters", counters }, { "gauges", gauges }, { "quantiles", quantiles } };
    return all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cicadaward
