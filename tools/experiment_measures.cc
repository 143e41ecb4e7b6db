// The measures of an experiment, from the counts of callers and targets. Names as in docs/design.md, section 1.4.

#include "experiment.h"

#include <algorithm>
#include <fstream>

namespace cicadaward {

namespace detail {

    using RunCounts = std::map<std::string, uint64_t>;

    RunCounts readRunLogs(const Topology& topology)
    {
        RunCounts runs;
        for (const TargetPlace& target : topology.targets()) {
            std::ifstream log(topology.plan().runFolder + "/" + target.name + ".runs");
            std::string id;
            while (std::getline(log, id))
                ++runs[id];
        }
        return runs;
    }

    double quantile(std::vector<double>& values, double q)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        return values[static_cast<size_t>(q * static_cast<double>(values.size() - 1))];
    }

} // namespace detail

nlohmann::json Experiment::measures() const
{
    nlohmann::json json = requestMeasures();
    FeedCounts total;
    for (const auto& feeds : m_feeds) {
        const FeedCounts& counts = feeds->counts();
        total.opened += counts.opened;
        total.refused += counts.refused;
        total.openTimeouts += counts.openTimeouts;
        total.broken += counts.broken;
        total.excused += counts.excused;
        total.answers += counts.answers;
        total.retransmissions += counts.retransmissions;
        for (const auto& [reason, count] : counts.brokenBy)
            total.brokenBy[reason] += count;
        total.firstBroken.insert(total.firstBroken.end(), counts.firstBroken.begin(), counts.firstBroken.end());
    }
    json["experiment"] = m_plan.name;
    json["seed"] = m_plan.seed;
    json["flows"] = total.opened;
    json["broken_flows"] = total.broken;
    json["excused_flows"] = total.excused;
    json["refused_opens"] = total.refused;
    json["open_timeouts"] = total.openTimeouts;
    json["feed_answers"] = total.answers;
    json["feed_retransmissions"] = total.retransmissions;
    if (!total.brokenBy.empty())
        json["broken_by"] = total.brokenBy;
    if (!total.firstBroken.empty())
        json["first_broken"] = total.firstBroken;
    uint64_t misdelivered = 0;
    uint64_t overAdmitted = 0;
    uint64_t overAdmittedAfterTurn = 0;
    uint64_t opensWhileDraining = 0;
    for (const auto& [name, stats] : m_stats) {
        misdelivered += stats.value("misdelivered", uint64_t { 0 });
        overAdmitted += stats.value("over_admitted_flows", uint64_t { 0 })
            + stats.value("over_admitted_requests", uint64_t { 0 });
        overAdmittedAfterTurn += stats.value("over_admitted_after_turn", uint64_t { 0 });
        opensWhileDraining += stats.value("opens_while_draining", uint64_t { 0 });
    }
    json["misdelivered"] = misdelivered;
    json["over_admitted"] = overAdmitted;
    json["over_admitted_after_turn"] = overAdmittedAfterTurn;
    json["opens_while_draining"] = opensWhileDraining;
    json["seconds_to_silence"] = m_secondsToSilence;
    json["lost_races"] = m_lostRaces;
    json["double_wins"] = m_doubleWins;
    addImbalance(json);
    addAvailability(json);
    writeTimeline();
    return json;
}

nlohmann::json Experiment::requestMeasures() const
{
    nlohmann::json json;
    RequestCounts total;
    uint64_t duplicateRuns = 0;
    uint64_t falseNotRun = 0;
    uint64_t answeredNotRun = 0;
    std::vector<double> latencies;
    detail::RunCounts runs = detail::readRunLogs(m_topology);
    for (const auto& requests : m_requests) {
        const RequestCounts& counts = requests->counts();
        total.sent += counts.sent;
        total.answered += counts.answered;
        total.notRun += counts.notRun;
        total.unknown += counts.unknown;
        total.lost += counts.lost;
        total.foreignAnswers += counts.foreignAnswers;
        total.badAnswers += counts.badAnswers;
        total.resent += counts.resent;
        for (const auto& [id, record] : requests->records()) {
            auto found = runs.find(id);
            uint64_t ran = found == runs.end() ? 0 : found->second;
            if (!record.repeatable && ran > 1)
                duplicateRuns += ran - 1;
            // An attempt that was told "not run" must not have run; attempts without a word may have.
            uint64_t possible = record.repeatable ? record.attempts - record.toldNotRun : 0;
            if (record.word == RequestWord::NotRun && ran > possible)
                ++falseNotRun;
            if (record.word == RequestWord::Answered) {
                answeredNotRun += ran == 0 ? 1 : 0;
                latencies.push_back(static_cast<double>(record.latency.count()));
            }
        }
    }
    json["requests"] = total.sent;
    json["answered"] = total.answered;
    json["refused_not_run"] = total.notRun;
    json["unknown"] = total.unknown;
    json["lost_requests"] = total.lost;
    json["resent"] = total.resent;
    json["duplicate_runs"] = duplicateRuns;
    json["false_not_run"] = falseNotRun;
    json["answered_without_run"] = answeredNotRun;
    json["foreign_answers"] = total.foreignAnswers;
    json["bad_answers"] = total.badAnswers;
    json["latency_ms_p50"] = detail::quantile(latencies, 0.5);
    json["latency_ms_p99"] = detail::quantile(latencies, 0.99);
    return json;
}

// Maximum over mean of the open flows of the targets that run and take flows, the worst service counts.
void Experiment::addImbalance(nlohmann::json& json) const
{
    double worst = 1;
    for (const ServicePlan& service : m_plan.topology.services) {
        if (service.feeds == 0)
            continue;
        double most = 0;
        double sum = 0;
        double count = 0;
        for (const TargetPlace& target : m_topology.targets()) {
            auto stats = m_stats.find(target.name);
            if (target.service != service.name || stats == m_stats.end())
                continue;
            double open = stats->second.value("open_flows", 0.0);
            most = std::max(most, open);
            sum += open;
            count += 1;
        }
        if (sum > 0)
            worst = std::max(worst, most / (sum / count));
    }
    json["imbalance"] = worst;
}

// One line for each second: requests by their last word, and the share of feeds that were open. Read by the plot
// script.
void Experiment::writeTimeline() const
{
    struct Second {
        uint64_t words[5] = { 0, 0, 0, 0, 0 };
        double openShare = 1;
    };
    std::map<int64_t, Second> seconds;
    for (const auto& requests : m_requests) {
        for (const auto& [id, record] : requests->records())
            ++seconds[record.startedAt / 1000].words[static_cast<size_t>(record.word)];
    }
    for (const Sample& sample : m_samples) {
        Second& second = seconds[static_cast<int64_t>(sample.seconds)];
        second.openShare = std::min(second.openShare, sample.openShare);
    }
    std::ofstream file(m_plan.topology.runFolder + "/timeline.csv");
    file << "second,answered,not_run,unknown,lost,open_feeds\n";
    for (const auto& [second, values] : seconds) {
        file << second;
        for (RequestWord word : { RequestWord::Answered, RequestWord::NotRun, RequestWord::Unknown, RequestWord::Lost })
            file << "," << values.words[static_cast<size_t>(word)];
        file << "," << values.openShare << "\n";
    }
}

// Share of the requests answered, and the share of feeds that were open, over the run and in the worst second.
void Experiment::addAvailability(nlohmann::json& json) const
{
    std::map<int64_t, std::pair<double, double>> seconds; // answered, sent
    double answered = 0;
    double sent = 0;
    for (const auto& requests : m_requests) {
        for (const auto& [id, record] : requests->records()) {
            double good = record.word == RequestWord::Answered ? 1 : 0;
            auto& second = seconds[record.startedAt / 1000];
            second.first += good;
            second.second += 1;
            answered += good;
            sent += 1;
        }
    }
    double dip = 1;
    for (const auto& [second, counts] : seconds)
        dip = std::min(dip, counts.first / counts.second);
    json["available"] = sent > 0 ? answered / sent : 1;
    json["deepest_dip"] = dip;
    double feedDip = 1;
    // The first 5 s are left out: the callers open their feeds over 2 s.
    for (const Sample& sample : m_samples) {
        if (sample.seconds >= 5)
            feedDip = std::min(feedDip, sample.openShare);
    }
    json["feed_deepest_dip"] = feedDip;
}

} // namespace cicadaward
