#include "experiment.h"

#include <algorithm>
#include <iostream>

namespace cicadaward {

namespace detail {

    constexpr auto tickInterval = std::chrono::milliseconds(10);
    // Agents that have all started empty say "unknown" for ids from before their start plus the clock allowance of 2 s.
    constexpr auto startMargin = std::chrono::seconds(3);
    constexpr uint32_t firstFeedAddress = 0x0a010000; // 10.1.0.0
    constexpr uint32_t firstRequestAddress = 0x0a020001; // 10.2.0.1
    constexpr uint32_t requestAddresses = 8;

} // namespace detail

Experiment::Experiment(boost::asio::io_context& context, const Clock& clock, ExperimentPlan plan, bool showProgress)
    : m_context(context)
    , m_clock(clock)
    , m_plan(std::move(plan))
    , m_showProgress(showProgress)
    , m_random(m_plan.seed)
    , m_topology(m_plan.topology)
    , m_tickTimer(context)
{
    m_fabric = std::make_unique<Fabric>(context, m_topology.fabricReturn(), m_plan.seed,
        [this](const IpPacket& packet, const uint8_t* data, size_t size) {
            for (auto& feeds : m_feeds) {
                if (feeds->owns(packet)) {
                    feeds->handlePacket(packet, data);
                    return;
                }
            }
            m_endpoint->input(data, size);
        });
    m_status = m_fabric->status();
    m_status.Update(m_topology.status());
    m_fabric->setEntries(m_topology.entryEndpoints());
    for (uint32_t i = 0; i < detail::requestAddresses; ++i)
        m_callerAddresses.push_back(detail::firstRequestAddress + i);
    m_events = std::make_unique<WakingRing<TcpEvent>>(1 << 16, context, [this](TcpEvent&& event) {
        for (auto& requests : m_requests)
            requests->handle(event);
    });
    m_endpoint = std::make_unique<TcpEndpoint>(
        m_callerAddresses, [this](const uint8_t* packet, size_t size) { m_fabric->send(packet, size); },
        [this](TcpEvent&& event) { m_events->push(std::move(event)); });
}

Experiment::~Experiment() = default;

nlohmann::json Experiment::run()
{
    if (!m_status.ok())
        return {};
    m_topology.start();
    tick();
    applyManifest([this] {
        size_t expected = m_topology.targets().size() + m_topology.entryEndpoints().size();
        waitForMembers(expected, m_clock.now() + std::chrono::seconds(15),
            [this] { schedule(detail::startMargin, [this] { startCallers(); }); });
    });
    m_context.run();
    return measures();
}

void Experiment::schedule(Duration delay, std::function<void()> action)
{
    m_scheduled.emplace_back(m_clock.now() + delay, std::move(action));
}

double Experiment::secondsSinceStart() const { return std::chrono::duration<double>(m_clock.now() - m_start).count(); }

void Experiment::tick()
{
    Time now = m_clock.now();
    std::vector<std::function<void()>> due;
    for (auto it = m_scheduled.begin(); it != m_scheduled.end();) {
        if (it->first <= now) {
            due.push_back(std::move(it->second));
            it = m_scheduled.erase(it);
        } else
            ++it;
    }
    for (auto& action : due)
        action();
    for (auto& feeds : m_feeds)
        feeds->tick();
    for (auto& requests : m_requests)
        requests->tick();
    m_tickTimer.expires_after(detail::tickInterval);
    m_tickTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

HttpClient& Experiment::client(const std::string& name, Endpoint endpoint)
{
    auto& client = m_clients[name];
    if (!client)
        client = std::make_unique<HttpClient>(m_context, endpoint, 2);
    return *client;
}

// Asks the control instances in turn until one answers with anything but "try another one" (503).
void Experiment::post(
    const std::string& path, const std::string& body, int tries, const std::function<void(unsigned, std::string)>& done)
{
    auto names = m_topology.controlNames();
    std::string name = names[static_cast<size_t>(tries) % names.size()];
    HttpClientRequest request(body.empty() ? boost::beast::http::verb::get : boost::beast::http::verb::post, path, 11);
    request.set(boost::beast::http::field::authorization, "Bearer " + m_topology.adminToken());
    request.set(boost::beast::http::field::host, name);
    request.set(boost::beast::http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    client(name, m_topology.admin(name))
        .send(++m_lastCall, request, std::chrono::seconds(3), [=](uint64_t, HttpResult result) {
            auto* response = std::get_if<HttpClientResponse>(&result);
            if (response && response->result_int() != 503)
                done(response->result_int(), response->body());
            else if (tries > 0)
                schedule(std::chrono::milliseconds(100), [=] { post(path, body, tries - 1, done); });
            else
                done(0, "no control instance answered");
        });
}

void Experiment::ask(const std::string& name, const std::string& path, const std::function<void(std::string)>& done)
{
    Endpoint endpoint;
    for (const TargetPlace& target : m_topology.targets()) {
        if (target.name == name)
            endpoint = target.http;
    }
    HttpClientRequest request(boost::beast::http::verb::get, path, 11);
    request.set(boost::beast::http::field::host, name);
    client(name, endpoint).send(++m_lastCall, request, std::chrono::seconds(1), [done](uint64_t, HttpResult result) {
        auto* response = std::get_if<HttpClientResponse>(&result);
        done(response ? response->body() : "");
    });
}

void Experiment::applyManifest(const std::function<void()>& done)
{
    uint64_t version = m_manifestVersion + 1;
    Manifest manifest = m_topology.manifest(version, m_manifestVersion, m_out);
    post(
        "/v1/manifest", formatManifest(manifest), 100, [this, version, done](unsigned status, const std::string& text) {
            if (status != 200) {
                m_status = absl::InternalError("manifest refused: " + std::to_string(status) + " " + text);
                m_context.stop();
                return;
            }
            m_manifestVersion = version;
            done();
        });
}

void Experiment::waitForMembers(size_t expected, Time deadline, const std::function<void()>& done)
{
    // Only the leader knows all members; the instances are asked in turn.
    post("/v1/status", "", static_cast<int>(++m_statusRound % 1000), [=](unsigned, const std::string& text) {
        auto json = nlohmann::json::parse(text, nullptr, false);
        bool complete = json.is_object() && json.value("isLeader", false)
            && json.value("members", size_t { 0 }) >= expected && json.value("behindCount", size_t { 1 }) == 0
            && json.value("/directory/sequence"_json_pointer, 0) > 0;
        if (complete || m_clock.now() > deadline) {
            done();
            return;
        }
        schedule(std::chrono::milliseconds(200), [=] { waitForMembers(expected, deadline, done); });
    });
}

void Experiment::startCallers()
{
    m_start = m_clock.now();
    m_running = true;
    uint32_t feedAddress = detail::firstFeedAddress;
    for (const ServicePlan& service : m_plan.topology.services) {
        if (service.feeds > 0) {
            FeedOptions options;
            options.serviceAddress = service.address;
            options.servicePort = feedPort;
            options.firstCallerAddress = feedAddress;
            options.flows = service.feeds;
            m_feeds.push_back(std::make_unique<FeedCallers>(m_clock, m_random, options,
                [this](const uint8_t* packet, size_t size) { m_fabric->send(packet, size); }));
        }
        feedAddress += 0x100;
        if (service.requestsPerSecond > 0) {
            RequestOptions options;
            options.serviceAddress = service.address;
            options.servicePort = requestPort;
            options.serviceName = service.name;
            options.perSecond = service.requestsPerSecond;
            m_requests.push_back(
                std::make_unique<RequestCallers>(m_clock, m_random, options, *m_endpoint, m_callerAddresses));
        }
    }
    for (const PlannedEvent& event : m_plan.events) {
        auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(event.seconds));
        schedule(delay, [this, event] { perform(event); });
    }
    auto length = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_plan.seconds));
    schedule(length, [this] { finish(); });
    std::function<void()> sample = [this] {
        uint64_t open = 0;
        uint64_t wanted = 0;
        for (const auto& feeds : m_feeds) {
            for (const auto& [target, count] : feeds->openFlowsByTarget())
                open += count;
        }
        for (const ServicePlan& service : m_plan.topology.services)
            wanted += service.feeds;
        m_samples.push_back(
            { secondsSinceStart(), wanted == 0 ? 1 : static_cast<double>(open) / static_cast<double>(wanted) });
    };
    for (double at = 0.1; at < m_plan.seconds; at += 0.1)
        schedule(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)), sample);
}

void Experiment::finish()
{
    for (auto& requests : m_requests)
        requests->stopSending();
    size_t open = 0;
    for (auto& requests : m_requests)
        open += requests->openRequests();
    if (open > 0) {
        schedule(std::chrono::milliseconds(50), [this] { finish(); });
        return;
    }
    collectStats([this] {
        for (const std::string& name : m_out)
            noteSilence(name);
        m_context.stop();
    });
}

// Reads the counts of all targets that still run.
void Experiment::collectStats(const std::function<void()>& done)
{
    auto waiting = std::make_shared<size_t>(m_topology.targets().size());
    for (const TargetPlace& target : m_topology.targets()) {
        ask(target.name, "/stats", [this, name = target.name, waiting, done](const std::string& text) {
            auto json = nlohmann::json::parse(text, nullptr, false);
            if (json.is_object())
                m_stats[name] = json;
            if (--*waiting == 0)
                done();
        });
    }
}

} // namespace cicadaward
