#include "request/agent_requests.h"

#include "request/remote_runs.h"
#include "request/request_machine.h"

namespace cicadaward::request {

namespace detail {

    // A drain finishes this long after the last request of a new owner, which can thus repeat it if the reply was lost.
    constexpr Duration handOverQuietPeriod = std::chrono::milliseconds(500);

} // namespace detail

class AgentRequests::Impl {
public:
    Impl(const Clock& clock, Random& random, const AgentRequestsConfig& config)
        : m_config(config)
        , m_view { clock, random, m_config }
        , m_out(config.self)
        , m_store(m_view, m_out)
        , m_sync(m_view, m_out, m_store)
        , m_blobs(m_view, m_out)
        , m_ledger(m_view, m_out, m_store, m_sync, m_blobs)
        , m_local(m_view, m_out)
        , m_budget(random, config.retriesPerRequest)
        , m_remote(m_view, m_out, m_ledger, m_local, m_blobs)
    {
    }

    std::vector<RequestAction> handle(RequestEvent event)
    {
        std::visit([this](auto& e) { on(e); }, event);
        deliverPending();
        return m_out.takeActions();
    }

    Load load() const
    {
        return { m_machines.size(), m_local.waiting(), m_local.running(), m_store.count(),
            m_store.bytes() + m_blobs.bytes(), m_sync.unsettledCount() };
    }

private:
    using Machines = std::map<uint64_t, std::unique_ptr<RequestMachine>>;

    void on(RequestReceived& event)
    {
        if (m_machineByConnection.count(event.connection) > 0 || m_machines.size() >= m_config.maxRequests) {
            m_out.count(RequestCounter::RefusedFull);
            // An earlier send of an id that is not repeatable may have run, and no claim can be sent to find out.
            bool notRun = event.request.repeatable;
            Reply reply { notRun ? RequestOutcome::NotRun : RequestOutcome::Unknown, !notRun,
                static_cast<uint16_t>(notRun ? 503 : 502), std::chrono::seconds(1), "too many open requests", nullptr };
            return m_out.addAction(WriteReply { event.connection, reply, true });
        }
        uint64_t id = m_nextId++;
        RequestContext context { m_view, m_out, m_ledger, m_local, m_blobs, m_budget };
        auto machine = std::make_unique<RequestMachine>(context, id, event.connection, std::move(event.request));
        m_machineByConnection[event.connection] = id;
        RequestMachine& added = *m_machines.emplace(id, std::move(machine)).first->second;
        added.start();
        removeIfFinished(id);
    }

    void on(ConnectionClosed& event)
    {
        auto found = m_machineByConnection.find(event.connection);
        if (found == m_machineByConnection.end())
            return;
        uint64_t id = found->second;
        m_machineByConnection.erase(found);
        m_machines.at(id)->onCallerDisconnected();
        removeIfFinished(id);
    }

    void on(TargetAnswered& event) { m_local.on(event); }
    void on(TargetFailed& event) { m_local.on(event); }
    void on(SlotsChanged& event) { m_local.on(event); }
    void on(TargetStateChanged& event) { m_local.on(event); }

    void on(PeerMessageReceived& event)
    {
        PeerMessage message;
        if (!decodePeerMessage(event.bytes, message))
            return m_out.count(RequestCounter::DamagedMessage);
        dispatch(event.from, message);
    }

    void on(DirectoryChanged& event)
    {
        if (m_view.directory && event.directory->version <= m_view.directory->version)
            return;
        auto before = std::exchange(m_view.directory, event.directory);
        auto tableBefore = std::exchange(m_view.table, event.table);
        m_sync.directoryChanged(before, std::exchange(m_view.wasFenced, false));
        m_ledger.directoryChanged();
    }

    void on(ControlContact& event)
    {
        updateWasFenced();
        if (!event.renewed) {
            m_view.hasContact = false;
        } else if (m_view.directory && m_view.version() >= event.version) {
            m_view.hasContact = true;
            m_view.lastContact = m_view.now();
        }
    }

    void on(DrainStarted& event)
    {
        m_view.draining = true;
        m_drainEnd = m_view.now() + event.limit;
        m_lastHandOverRequest = m_view.now() + m_view.config.lease; // by then every new owner knows of the drain
    }

    void on(Tick&)
    {
        updateWasFenced();
        m_store.expire();
        m_sync.tick();
        m_ledger.tick();
        m_blobs.tick();
        m_remote.tick();
        for (auto it = m_machines.begin(); it != m_machines.end();) {
            uint64_t id = it->first;
            it->second->tick();
            ++it;
            removeIfFinished(id);
        }
        if (m_view.draining && !m_drainReported)
            checkDrain();
    }

    void updateWasFenced() { m_view.wasFenced = m_view.wasFenced || m_view.isFenced(); }

    void checkDrain()
    {
        bool idle = m_machines.empty() && m_remote.isIdle() && m_ledger.reportCount() == 0;
        bool quiet = m_view.now() - m_lastHandOverRequest >= detail::handOverQuietPeriod;
        bool complete = idle && quiet && m_sync.isHandedOver();
        if (!complete && m_view.now() < m_drainEnd)
            return;
        m_drainReported = true;
        m_out.addAction(DrainFinished { complete });
    }

    void dispatch(MemberId from, PeerMessage& message)
    {
        std::visit([&](auto& m) { receive(from, m); }, message);
    }

    template <typename Message> void receive(MemberId from, Message& message) { m_ledger.on(from, message); }
    void receive(MemberId from, SyncRequest& message)
    {
        m_lastHandOverRequest = std::max(m_lastHandOverRequest, m_view.now());
        m_sync.on(from, message);
    }
    void receive(MemberId from, SyncReply& message) { m_sync.on(from, message); }
    void receive(MemberId from, FetchRequest& message)
    {
        m_lastHandOverRequest = std::max(m_lastHandOverRequest, m_view.now());
        m_blobs.on(from, message);
    }
    void receive(MemberId from, FetchReply& message) { m_blobs.on(from, message); }
    void receive(MemberId from, RunRequest& message) { m_remote.on(from, message, m_nextId++); }
    void receive(MemberId from, RunCancel& message) { m_remote.on(from, message); }
    void receive(MemberId from, RunResult& message)
    {
        for (auto& [id, machine] : m_machines) {
            if (machine->attempt() == message.attempt) {
                machine->on(from, message);
                return removeIfFinished(id);
            }
        }
        m_out.count(RequestCounter::StaleAttempt);
    }
    void receive(MemberId, ClaimReply& message)
    {
        auto found = findByToken(message.token);
        if (found != m_machines.end()) {
            found->second->on(message);
            removeIfFinished(message.token.nonce);
        } else if (message.verdict == ClaimVerdict::Granted) {
            m_ledger.reportUnknownClaim(message.key, message.token);
        } else {
            m_out.count(RequestCounter::StaleMessage);
        }
    }
    void receive(MemberId, ClaimProbe& message)
    {
        if (findByToken(message.token) == m_machines.end())
            m_ledger.reportUnknownClaim(message.key, message.token);
    }

    Machines::iterator findByToken(const ClaimToken& token)
    {
        bool own = token.member == m_config.self && token.process == m_config.process;
        return own ? m_machines.find(token.nonce) : m_machines.end();
    }

    // Delivers the messages to this agent itself, the results of the local target and the finished fetches, until none
    // is left.
    void deliverPending()
    {
        for (bool again = true; again;) {
            again = false;
            while (m_out.hasLocalMessage()) {
                PeerMessage message = m_out.takeLocalMessage();
                dispatch(m_config.self, message);
            }
            m_local.dispatchWaiting();
            for (LocalTarget::Result& result : m_local.takeResults()) {
                again = true;
                auto found = m_machines.find(result.id);
                if (found == m_machines.end()) {
                    m_remote.onResult(result);
                    continue;
                }
                found->second->onLocalResult(result);
                removeIfFinished(result.id);
            }
            for (BlobTransfer::FetchResult& done : m_blobs.takeFetchResults()) {
                again = true;
                auto found = m_machines.find(done.tag);
                if (found == m_machines.end()) {
                    if (!m_ledger.onFetched(done))
                        m_remote.onFetched(done);
                    continue;
                }
                found->second->onFetched(done);
                removeIfFinished(done.tag);
            }
            again = again || m_out.hasLocalMessage();
        }
    }

    void removeIfFinished(uint64_t id)
    {
        auto found = m_machines.find(id);
        if (found == m_machines.end() || !found->second->isFinished())
            return;
        if (found->second->isConnected())
            m_machineByConnection.erase(found->second->connection());
        m_machines.erase(found);
    }

    AgentRequestsConfig m_config;
    AgentView m_view;
    Outbox m_out;
    RecordStore m_store;
    BucketSync m_sync;
    BlobTransfer m_blobs;
    Ledger m_ledger;
    LocalTarget m_local;
    RetryBudget m_budget;
    RemoteRuns m_remote;
    Machines m_machines;
    absl::flat_hash_map<ConnectionId, uint64_t> m_machineByConnection;
    uint64_t m_nextId = 1;
    bool m_drainReported = false;
    Time m_drainEnd;
    Time m_lastHandOverRequest;
};

AgentRequests::AgentRequests(const Clock& clock, Random& random, const AgentRequestsConfig& config)
    : m_impl(std::make_unique<Impl>(clock, random, config))
{
}

AgentRequests::~AgentRequests() = default;

std::vector<RequestAction> AgentRequests::handle(RequestEvent event) { return m_impl->handle(std::move(event)); }

AgentRequests::Load AgentRequests::load() const { return m_impl->load(); }

} // namespace cicadaward::request
