// What a request of each route is likely to cost: the distribution of the times that the target beside an agent worked
// on the recent ones. The unit is time at this target, so the target's own speed is included.
//
//     CostModel costs(clock);
//     costs.onAnswered(route, 24ms);
//     Duration wait = costs.remaining(route, elapsed); // of a request that is being worked on
//
// Service times are skewed, so a mean alone misleads: a request that has run for longer than most is likely one of the
// expensive ones, and has most of its work before it. Each route therefore has a histogram with logarithmic buckets,
// four to a doubling, which bounds the error of a quantile by a quarter. Its weights halve after each 64 answers, so
// that a target which turns slow is learned within about as many, and once when an answer follows a silence of 10 s.
//
// A route that was never answered is expected to cost what the target's answers of all routes cost, and a new target
// 50 ms. Such an expectation counts as one answer, which later ones outweigh.
//
// Memory: about 700 bytes for each of at most 64 routes; the one whose last answer is oldest is dropped. onAnswered()
// and mean() cost O(1), a new route, remaining() and quantile() O(buckets).
#pragma once

#include "core/clock.h"
#include "directory/directory.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace cicadaward::steering {

class CostHistogram {
public:
    static constexpr size_t bucketCount = 84; // up to 134 s
    static constexpr unsigned answersPerHalving = 64;

    // Starts as after one answer that took `expected`.
    explicit CostHistogram(Duration expected) { add(expected); }

    void onAnswered(Duration serviceTime, Time now);
    void halve();
    Duration mean() const;
    // Expected further time of a request that has run for `elapsed`. One that has run for longer than all recent ones
    // is expected to take as long again.
    Duration remaining(Duration elapsed) const;
    // Upper bound of the bucket that contains the quantile `share`, which is in [0, 1].
    Duration quantile(double share) const;
    // Slowest of at least the last 64 answers, and at most the last 128. 0: no answer yet.
    Duration slowest() const { return std::max(m_slowestOfBlock, m_slowestOfPreviousBlock); }
    Time lastAnswer() const { return m_lastAnswer; }

private:
    struct Bucket {
        float weight = 0; // answers
        float work = 0; // microseconds, sum of weighted service times
    };

    void add(Duration serviceTime);

    std::array<Bucket, bucketCount> m_buckets {};
    double m_weight = 0; // sums over the buckets
    double m_work = 0;
    unsigned m_answersOfBlock = 0; // since the last block of 64 ended
    Duration m_slowestOfBlock {};
    Duration m_slowestOfPreviousBlock {};
    Time m_lastAnswer;
};

class CostModel {
public:
    static constexpr size_t maxRoutes = 64;

    explicit CostModel(const Clock& clock);

    // `route` is the service's address and port, as in FlowId::service.
    void onAnswered(Endpoint route, Duration serviceTime);
    // Call when the target has restarted: halves the weight of what was learned.
    void onNewStart();

    Duration mean(Endpoint route) const { return histogramOf(route).mean(); }
    Duration remaining(Endpoint route, Duration elapsed) const { return histogramOf(route).remaining(elapsed); }
    Duration quantile(Endpoint route, double share) const { return histogramOf(route).quantile(share); }
    // Slowest of the last 64 to 128 answers of the route. 0: no answer yet.
    Duration slowest(Endpoint route) const;
    // Of the answers of all routes.
    Duration mean() const { return m_all.mean(); }
    size_t routeCount() const { return m_routes.size(); }
    // Calls `visit` with each route, in no particular order.
    template <typename Visit> void forEachRoute(Visit visit) const
    {
        for (const auto& [route, histogram] : m_routes)
            visit(route);
    }

private:
    const CostHistogram& histogramOf(Endpoint route) const;
    CostHistogram& addRoute(Endpoint route);

    const Clock& m_clock;
    CostHistogram m_all;
    absl::flat_hash_map<Endpoint, CostHistogram> m_routes;
};

} // namespace cicadaward::steering
