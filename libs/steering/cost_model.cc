#include "steering/cost_model.h"

#include <algorithm>

namespace cicadaward::steering {

namespace {

    constexpr Duration newTargetCost = std::chrono::milliseconds(50);
    constexpr Duration silenceLimit = std::chrono::seconds(10);

    // A bucket with less is emptied: after some thousand answers without one in it, its weight would become a denormal
    // number, with which arithmetic is many times slower.
    constexpr float minWeight = 1e-6F;

    // Bucket i starts at 2^(firstExponent + i / 4) * (1 + i % 4 / 4) microseconds.
    constexpr unsigned firstExponent = 6; // 64 us: below the time of any request that does work
    constexpr unsigned bucketsPerDoubling = 4;
    constexpr unsigned subBucketBits = 2;

    uint64_t microsecondsOf(Duration duration)
    {
        return static_cast<uint64_t>(
            std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(duration).count()));
    }

    Duration durationOf(double microseconds)
    {
        return Duration(static_cast<Duration::rep>(microseconds * double(Duration::period::den) / 1e6));
    }

    size_t bucketOf(uint64_t microseconds)
    {
        if (microseconds < (uint64_t(1) << firstExponent))
            return 0;
        unsigned exponent = 63 - static_cast<unsigned>(__builtin_clzll(microseconds));
        size_t index = bucketsPerDoubling * (exponent - firstExponent)
            + ((microseconds >> (exponent - subBucketBits)) & (bucketsPerDoubling - 1));
        return std::min(index, CostHistogram::bucketCount - 1);
    }

    double lowerBoundOf(size_t bucket)
    {
        if (bucket == 0)
            return 0;
        double doubling = double(uint64_t(1) << (firstExponent + bucket / bucketsPerDoubling));
        return doubling * (1 + double(bucket % bucketsPerDoubling) / bucketsPerDoubling);
    }

} // namespace

void CostHistogram::add(Duration serviceTime)
{
    uint64_t microseconds = microsecondsOf(serviceTime);
    Bucket& bucket = m_buckets[bucketOf(microseconds)];
    bucket.weight += 1;
    bucket.work += static_cast<float>(microseconds);
    m_weight += 1;
    m_work += double(microseconds);
}

void CostHistogram::onAnswered(Duration serviceTime, Time now)
{
    if (m_lastAnswer != Time() && now - m_lastAnswer >= silenceLimit)
        halve();
    m_lastAnswer = now;
    m_slowestOfBlock = std::max(m_slowestOfBlock, serviceTime);
    add(serviceTime);
    if (++m_answersOfBlock < answersPerHalving)
        return;
    m_answersOfBlock = 0;
    m_slowestOfPreviousBlock = m_slowestOfBlock;
    m_slowestOfBlock = Duration::zero();
    halve();
}

// The sums are computed anew, so that rounding errors do not add up.
void CostHistogram::halve()
{
    m_weight = m_work = 0;
    for (Bucket& bucket : m_buckets) {
        bucket = bucket.weight < minWeight ? Bucket() : Bucket { bucket.weight / 2, bucket.work / 2 };
        m_weight += bucket.weight;
        m_work += bucket.work;
    }
}

Duration CostHistogram::mean() const { return m_weight > 0 ? durationOf(m_work / m_weight) : newTargetCost; }

Duration CostHistogram::remaining(Duration elapsed) const
{
    if (elapsed <= Duration::zero())
        return mean();
    auto ran = double(microsecondsOf(elapsed));
    size_t first = bucketOf(microsecondsOf(elapsed));
    // Service times are taken as evenly spread within the bucket of `elapsed`.
    double end = lowerBoundOf(first + 1);
    double share = std::clamp((end - ran) / (end - lowerBoundOf(first)), 0.0, 1.0);
    double weight = m_buckets[first].weight * share;
    double work = weight * std::max(0.0, end - ran) / 2;
    for (size_t i = first + 1; i < bucketCount; ++i) {
        weight += m_buckets[i].weight;
        work += m_buckets[i].work - m_buckets[i].weight * ran;
    }
    return weight > 0 ? durationOf(work / weight) : elapsed;
}

Duration CostHistogram::quantile(double share) const
{
    double wanted = m_weight * share;
    double seen = 0;
    size_t last = 0;
    for (size_t i = 0; i < bucketCount; ++i) {
        if (m_buckets[i].weight == 0)
            continue;
        last = i;
        seen += m_buckets[i].weight;
        if (seen >= wanted)
            break;
    }
    return durationOf(lowerBoundOf(last + 1));
}

CostModel::CostModel(const Clock& clock)
    : m_clock(clock)
    , m_all(newTargetCost)
{
}

void CostModel::onAnswered(Endpoint route, Duration serviceTime)
{
    auto found = m_routes.find(route);
    CostHistogram& histogram = found == m_routes.end() ? addRoute(route) : found->second;
    Time now = m_clock.now();
    histogram.onAnswered(serviceTime, now);
    m_all.onAnswered(serviceTime, now);
}

CostHistogram& CostModel::addRoute(Endpoint route)
{
    if (m_routes.size() >= maxRoutes) {
        m_routes.erase(std::min_element(m_routes.begin(), m_routes.end(),
            [](const auto& a, const auto& b) { return a.second.lastAnswer() < b.second.lastAnswer(); }));
    }
    return m_routes.emplace(route, CostHistogram(m_all.mean())).first->second;
}

void CostModel::onNewStart()
{
    m_all.halve();
    for (auto& [route, histogram] : m_routes)
        histogram.halve();
}

Duration CostModel::slowest(Endpoint route) const
{
    auto found = m_routes.find(route);
    return found == m_routes.end() ? Duration::zero() : found->second.slowest();
}

const CostHistogram& CostModel::histogramOf(Endpoint route) const
{
    auto found = m_routes.find(route);
    return found == m_routes.end() ? m_all : found->second;
}

} // namespace cicadaward::steering
