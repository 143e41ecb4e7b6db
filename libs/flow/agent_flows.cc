// Dispatches events to the owner and the holder of an agent: checks the header of each datagram, looks up the record of
// its flow and passes the packet to the one that has to handle it.

#include "flow/agent_flows.h"

#include "flow/holder.h"
#include "flow/owner.h"

namespace cicadaward::flow {

namespace detail {

    namespace {

        constexpr Duration sweepInterval = std::chrono::milliseconds(10);
        constexpr size_t stepsPerSweep = 16; // steps for a sweep of the whole table

        template <typename... Handlers> struct Overloaded : Handlers... {
            using Handlers::operator()...;
        };
        template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

    } // namespace

    class AgentMachine {
    public:
        AgentMachine(const AgentFlowsSettings& settings, TargetAdmission& admission, const Clock& clock, Random& random)
            : m_state(settings, clock)
            , m_holder(m_state, admission, random)
            , m_owner(m_state, random, m_holder)
        {
            m_holder.setOwner(m_owner);
            m_owner.setReplay([this](const TunnelHeader& header, Bytes bytes) { handlePacket(header, bytes, true); });
        }

        void handle(const AgentEvent& event, Actions& actions)
        {
            m_state.actions = &actions;
            checkLease();
            std::visit([this](const auto& e) { on(e); }, event);
            m_state.actions = nullptr;
        }

        const AgentState& state() const { return m_state; }
        const Owner& owner() const { return m_owner; }

    private:
        void on(const TunnelReceived& event);
        void on(const TargetPacket& event) { m_holder.handleTargetPacket(event.packet); }
        void on(const DirectoryReceived& event);
        void on(const ControlContact& event);
        void on(const TargetUp& event) { m_holder.targetUp(event.incarnation); }
        void on(const TargetDown&) { m_holder.targetDown(); }
        void on(const TargetDraining&) { m_state.draining = true; }
        void on(const Tick&);

        bool shouldAccept(const TunnelHeader& header);
        void handlePacket(const TunnelHeader& header, Bytes bytes, bool replayed);
        bool parse(PacketContext& context);
        void handlePeerMessage(const TunnelHeader& header, Bytes bytes);
        void handleSyncRequest(const TunnelHeader& header, const BucketSyncRequest& request);
        void handleFlowRefused(const TunnelHeader& header, const FlowRefused& message);
        void handleLoadReport(MemberId sender, const LoadReport& message);
        void handleHolderSyncRequest(MemberId sender, const HolderSyncRequest& message);
        void checkLease();
        void renewLease();
        void sweep();

        AgentState m_state;
        Holder m_holder;
        Owner m_owner;
        bool m_hadLease = false;
        size_t m_sweepIndex = 0;
        Time m_nextSweep;
    };

    void AgentMachine::checkLease()
    {
        if (m_hadLease && !m_state.hasLease()) {
            m_hadLease = false;
            m_owner.leaseLapsed();
        }
    }

    void AgentMachine::on(const ControlContact& event)
    {
        if (event.requestSentAt > m_state.pendingContact) {
            m_state.pendingContact = event.requestSentAt;
            m_state.pendingVersion = event.latest;
        }
        m_state.requestDirectory(event.latest);
        renewLease();
    }

    void AgentMachine::renewLease()
    {
        if (m_state.pendingVersion > m_state.version() || m_state.pendingContact == Time())
            return;
        m_state.hasContact = true;
        m_state.lastContact = std::max(m_state.lastContact, m_state.pendingContact);
        if (!m_hadLease && m_state.hasLease()) {
            m_hadLease = true;
            m_owner.leaseRenewed();
        }
    }

    void AgentMachine::on(const DirectoryReceived& event)
    {
        if (!event.directory || (m_state.directory && event.directory->version <= m_state.version()))
            return;
        DirectoryVersion before = m_state.version();
        std::vector<MemberId> joined = m_state.installDirectory(event.directory);
        DirectoryVersion version = m_state.version();
        bool next = version.term == before.term && version.sequence == before.sequence + 1;
        m_holder.directoryChanged();
        m_owner.directoryChanged(joined, !next);
        renewLease();
    }

    bool AgentMachine::shouldAccept(const TunnelHeader& header)
    {
        bool out = m_state.isOut(header.dataCentre);
        if (header.service != m_state.settings.service || (out && header.kind != TunnelKind::PeerMessage)) {
            m_state.count(FlowCounter::DroppedForeign);
            return false;
        }
        if (header.dataCentre != m_state.settings.dataCentre)
            m_state.lastOtherDataCentre = m_state.now();
        m_state.requestDirectory(header.version);
        return true;
    }

    void AgentMachine::on(const TunnelReceived& event)
    {
        if (!shouldAccept(event.header))
            return;
        if (event.header.kind == TunnelKind::PeerMessage)
            handlePeerMessage(event.header, event.bytes);
        else
            handlePacket(event.header, event.bytes, false);
    }

    bool AgentMachine::parse(PacketContext& context)
    {
        auto parsed = parseIpPacket(context.bytes.data(), context.bytes.size());
        const IpPacket* packet = std::get_if<IpPacket>(&parsed);
        if (!packet) {
            m_state.count(FlowCounter::DroppedDamaged);
            return false;
        }
        const PortSpec* port = m_state.port(packet->key);
        if (!port) {
            m_state.count(FlowCounter::DroppedForeign);
            return false;
        }
        context.packet = *packet;
        context.hash = packet->key.hash();
        context.bucket = m_state.bucketOfHash(context.hash);
        context.mode = port->mode;
        return true;
    }

    void AgentMachine::handlePacket(const TunnelHeader& header, Bytes bytes, bool replayed)
    {
        if (m_state.isIsolated() || m_state.isOwnDataCentreOut() || !m_state.buckets) {
            m_state.count(m_state.buckets ? FlowCounter::DroppedIsolated : FlowCounter::DroppedForeign);
            return;
        }
        PacketContext context { header, {}, 0, {}, PortMode::Flow, bytes };
        if (!parse(context))
            return;
        FlowRecord* record = m_state.table.find(context.packet.key, context.hash);
        bool forHolder = !replayed && (header.kind == TunnelKind::ToHolder || header.kind == TunnelKind::OpenFlow);
        bool sameTarget = !forHolder || context.isSpeculative() || header.targetIncarnation == m_state.target;
        if (record && record->hasRole(FlowRole::held) && sameTarget && m_holder.deliver(*record, context))
            return;
        if (!forHolder)
            m_owner.handlePacket(context);
        else if (header.kind == TunnelKind::OpenFlow)
            m_holder.handleOpenFlow(context);
        else
            m_holder.handleToHolder(context);
    }

    void AgentMachine::handlePeerMessage(const TunnelHeader& header, Bytes bytes)
    {
        PeerMessage message;
        if (!decodePeerMessage(bytes, message) || !m_state.buckets) {
            m_state.count(FlowCounter::DroppedDamaged);
            return;
        }
        MemberId sender = header.sender;
        bool sync = std::holds_alternative<BucketSyncRequest>(message)
            || std::holds_alternative<BucketSyncReply>(message) || std::holds_alternative<BucketSyncStale>(message);
        if (m_state.isOut(header.dataCentre) && !sync) {
            m_state.count(FlowCounter::DroppedForeign);
            return;
        }
        std::visit(Overloaded {
                       [&](const FlowOpened& m) { m_owner.handleFlowOpened(sender, m); },
                       [&](const FlowClosed& m) { m_owner.handleFlowClosed(m); },
                       [&](const FlowRefused& m) { handleFlowRefused(header, m); },
                       [&](const FlowCheck& m) { m_holder.answerCheck(sender, m); },
                       [&](const BucketSyncRequest& m) { handleSyncRequest(header, m); },
                       [&](const BucketSyncReply& m) { m_owner.handleSyncReply(sender, m); },
                       [&](const BucketSyncStale& m) { m_owner.handleSyncStale(m); },
                       [&](const HolderSyncRequest& m) { handleHolderSyncRequest(sender, m); },
                       [&](const HolderSyncReply& m) { m_holder.handleHolderSyncReply(sender, m); },
                       [&](const LoadReport& m) { handleLoadReport(sender, m); },
                   },
            message);
    }

    void AgentMachine::handleFlowRefused(const TunnelHeader& header, const FlowRefused& message)
    {
        // The returned packet of a closed flow keeps its hop count, so that two agents cannot forward it to each other
        // forever. For a flow that was not admitted the hop count restarts, because the number of placement attempts
        // is bounded.
        TunnelHeader again = header;
        again.kind = TunnelKind::ToOwner;
        again.hops = message.reason == RefusalReason::Closed ? message.hops : uint8_t { 1 };
        Bytes bytes = m_state.actions->store(message.packet);
        PacketContext context { again, {}, 0, {}, PortMode::Flow, bytes };
        if (parse(context))
            m_owner.handleFlowRefused(header.sender, header.version, message, context);
    }

    void AgentMachine::handleLoadReport(MemberId sender, const LoadReport& message)
    {
        m_owner.handleLoadReport(sender, message);
        if (message.wantsReply)
            m_holder.answerProbe(sender);
    }

    void AgentMachine::handleHolderSyncRequest(MemberId sender, const HolderSyncRequest& message)
    {
        if (Peer* peer = m_state.peer(sender))
            peer->mayHoldUnknownFlowsUntil = m_state.now() + m_state.settings.absentMemberTimeout;
        m_holder.answerHolderSync(sender, message);
    }

    void AgentMachine::handleSyncRequest(const TunnelHeader& header, const BucketSyncRequest& request)
    {
        // A reply needs the complete list of held flows. Until it is known, the requester repeats the request.
        if (!m_state.heldFlowsKnown || !m_state.peer(header.sender))
            return;
        std::vector<BucketId> answered;
        DirectoryVersion newest = m_state.version();
        for (BucketId bucket : request.buckets) {
            if (bucket.value() >= m_state.promisedVersions.size())
                continue;
            DirectoryVersion& promise = m_state.promisedVersions[bucket.value()];
            newest = std::max(newest, promise);
            const Member* owner = m_state.buckets->owner(bucket);
            bool sameOwner = owner && owner->id == header.sender;
            bool newerHere = m_state.version() >= request.version && !sameOwner;
            if (promise > request.version || newerHere)
                continue;
            promise = request.version;
            m_owner.bucketPromised(bucket);
            answered.push_back(bucket);
        }
        if (answered.size() < request.buckets.size()) {
            m_state.count(FlowCounter::SyncStale);
            m_state.sendPeer(header.sender, BucketSyncStale { newest });
        }
        if (!answered.empty())
            m_holder.answerSync(header.sender, request, answered);
    }

    void AgentMachine::sweep()
    {
        if (m_state.now() < m_nextSweep || !m_state.buckets)
            return;
        m_nextSweep = m_state.now() + sweepInterval;
        for (size_t step = m_state.table.slotCount() / stepsPerSweep + 1; step > 0; --step) {
            if (m_sweepIndex >= m_state.table.slotCount()) {
                m_sweepIndex = 0;
                m_owner.sweepEnded();
                break;
            }
            FlowRecord* record = m_state.table.at(m_sweepIndex);
            // erase() may have moved another record into this slot, which then has to be examined too.
            bool erased = record && (m_holder.sweep(*record) || m_owner.sweep(*record));
            m_sweepIndex += erased ? 0 : 1;
        }
    }

    void AgentMachine::on(const Tick&)
    {
        sweep();
        m_holder.tick();
        m_owner.tick();
    }

} // namespace detail

AgentFlows::AgentFlows(
    const AgentFlowsSettings& settings, TargetAdmission& admission, const Clock& clock, Random& random)
    : m_machine(std::make_unique<detail::AgentMachine>(settings, admission, clock, random))
{
}

AgentFlows::~AgentFlows() = default;

void AgentFlows::handle(const AgentEvent& event, Actions& actions) { m_machine->handle(event, actions); }
const FlowCounters& AgentFlows::counters() const { return m_machine->state().counters; }
DirectoryVersion AgentFlows::directoryVersion() const { return m_machine->state().version(); }
size_t AgentFlows::heldFlows() const { return m_machine->state().heldCount; }
size_t AgentFlows::ownedFlows() const { return m_machine->state().ownedCount; }
size_t AgentFlows::ownedBuckets() const { return m_machine->owner().sync().takenOverCount(); }
size_t AgentFlows::settledBuckets() const { return m_machine->owner().sync().settledCount(); }
size_t AgentFlows::queuedPackets() const { return m_machine->owner().queuedPacketCount(); }
size_t AgentFlows::tableBytes() const { return m_machine->state().table.bytes(); }
bool AgentFlows::hasLease() const { return m_machine->state().hasLease(); }
bool AgentFlows::isIsolated() const { return m_machine->state().isIsolated(); }

const char* flowCounterName(FlowCounter counter)
{
    static const char* const names[] = { "delivered", "forwarded_to_owner", "forwarded_to_holder", "flows_opened",
        "flows_closed", "flows_adopted", "flows_placed", "placement_refused", "resets", "dropped_damaged",
        "dropped_foreign", "dropped_hops", "dropped_queue_full", "dropped_expired", "dropped_no_owner",
        "dropped_isolated", "dropped_unknown", "dropped_stale", "table_full", "copies_dropped", "list_incomplete",
        "conflicting_holders", "sync_requests", "sync_stale", "buckets_taken", "buckets_settled", "refused_lease",
        "refused_limit", "refused_version", "refused_target" };
    static_assert(sizeof(names) / sizeof(names[0]) == flowCounterCount, "one name for each counter");
    return names[static_cast<size_t>(counter)];
}

} // namespace cicadaward::flow
