// Runs one experiment with real processes and counts at the stand-ins.
//
//     Experiment experiment(context, clock, plan);
//     nlohmann::json measures = experiment.run(); // blocks until the experiment has ended
//
// Phases: start the processes, apply the first manifest, wait until the members are there, run the callers and the
// events, stop the request callers, wait for open requests, collect the counts.
#pragma once

#include "feed_callers.h"
#include "net/http_client.h"
#include "net/waking_ring.h"
#include "plan.h"
#include "request_callers.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>

namespace cicadaward {

class Experiment {
public:
    Experiment(boost::asio::io_context&, const Clock&, ExperimentPlan, bool showProgress);
    ~Experiment();

    nlohmann::json run();
    absl::Status status() const { return m_status; }

private:
    struct Sample {
        double seconds = 0;
        double openShare = 0; // of the feeds
    };

    void createCallers();
    void schedule(Duration delay, std::function<void()> action);
    void tick();
    void perform(const PlannedEvent&);
    void performOnProcess(const PlannedEvent&);
    void performOnLinks(const PlannedEvent&);
    void performOnProcessLinks(const std::string& action, const std::string& process);
    void performOnBorder(const std::string& dataCentre, bool cut);
    void findLeader(int tries, const std::function<void(std::string)>& done);
    void killLeader();
    void race();

    void applyManifest(const std::function<void()>& done);
    void setDataCentre(const std::string& name, bool out);
    void waitForMembers(size_t expected, Time deadline, const std::function<void()>& done);
    void control(const std::string& target, const std::string& query);
    void post(const std::string& path, const std::string& body, int tries,
        const std::function<void(unsigned, std::string)>& done);
    void ask(const std::string& name, const std::string& path, const std::function<void(std::string)>& done);
    HttpClient& client(const std::string& name, Endpoint);

    void startCallers();
    void finish();
    void collectStats(const std::function<void()>& done);
    void noteSilence(const std::string& dataCentre);
    void changeDataCentre(const std::string& name, bool out);
    void updateExcuses();

    nlohmann::json measures() const;
    nlohmann::json requestMeasures() const;
    void addImbalance(nlohmann::json&) const;
    void addAvailability(nlohmann::json&) const;
    void writeTimeline() const;
    double secondsSinceStart() const;

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    ExperimentPlan m_plan;
    bool m_showProgress;
    Random m_random;
    absl::Status m_status;
    Topology m_topology;
    std::unique_ptr<Fabric> m_fabric;
    std::unique_ptr<WakingRing<TcpEvent>> m_events;
    std::unique_ptr<TcpEndpoint> m_endpoint;
    std::vector<uint32_t> m_callerAddresses;
    std::vector<std::unique_ptr<FeedCallers>> m_feeds;
    std::vector<std::unique_ptr<RequestCallers>> m_requests;
    boost::asio::steady_timer m_tickTimer;
    std::map<std::string, std::unique_ptr<HttpClient>> m_clients;
    uint64_t m_lastCall = 0;
    uint64_t m_statusRound = 0;
    uint64_t m_manifestVersion = 0;
    std::vector<std::string> m_out; // data centres
    std::set<std::string> m_killed; // targets
    std::set<std::string> m_cutDataCentres;
    PacketFaults m_packetFaults;
    Time m_start;
    bool m_running = false;
    std::deque<std::pair<Time, std::function<void()>>> m_scheduled;
    std::vector<Sample> m_samples;
    std::map<std::string, nlohmann::json> m_stats; // by target, last known
    std::map<std::string, double> m_outAt; // data centre -> ms since 1970 of acceptance
    double m_secondsToSilence = 0;
    uint64_t m_lostRaces = 0; // no operator won
    uint64_t m_doubleWins = 0; // both won
    std::string m_leader;
};

} // namespace cicadaward
