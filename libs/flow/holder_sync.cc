// The part of the holder that exchanges messages with other agents: answers to sync requests, the holder sync after a
// restart of the agent, reports of opened and closed flows, and load reports.

#include "flow/holder.h"

#include <algorithm>
#include <cstdlib>
#include <map>

namespace cicadaward::flow::detail {

namespace {

    constexpr Duration holderSyncRequestInterval = std::chrono::milliseconds(200);
    constexpr Duration loadReportInterval = std::chrono::seconds(5);
    constexpr Duration probeInterval = std::chrono::seconds(1);

    using Summaries = std::vector<FlowSummary>;

    // Divides flows by hash into enough parts for each part to fit into one datagram.
    std::vector<Summaries> divideIntoParts(const Summaries& flows)
    {
        auto count
            = static_cast<uint32_t>(std::max<size_t>(1, (flows.size() + maxFlowsPerMessage - 1) / maxFlowsPerMessage));
        for (;; count = std::min(count * 2, maxParts)) {
            std::vector<Summaries> parts(count);
            size_t largest = 0;
            for (const FlowSummary& flow : flows) {
                Summaries& part = parts[partOf(flow.key.hash(), count)];
                part.push_back(flow);
                largest = std::max(largest, part.size());
            }
            if (largest <= maxFlowsPerMessage || count == maxParts)
                return parts;
        }
    }

} // namespace

void Holder::answerSync(MemberId sender, const BucketSyncRequest& request, const std::vector<BucketId>& buckets)
{
    std::map<BucketId, Summaries> flows;
    std::vector<bool> asked(m_state.promisedVersions.size());
    for (BucketId bucket : buckets)
        asked[bucket.value()] = true;
    for (size_t i = 0; i < m_state.table.slotCount(); ++i) {
        const FlowRecord* record = m_state.table.at(i);
        if (!record || !record->hasRole(FlowRole::held) || record->hasFlag(FlowFlag::refusing))
            continue;
        BucketId bucket = m_state.bucketOfHash(record->key.hash());
        if (asked[bucket.value()])
            flows[bucket].push_back(summarize(m_state, *record));
    }
    BucketSyncReply reply;
    reply.session = request.session;
    reply.incarnation = m_state.target;
    reply.mayHoldMore = m_state.mayHoldUnknownFlows();
    for (BucketId bucket : buckets) {
        const Summaries& own = flows[bucket];
        if (own.size() > maxFlowsPerMessage) {
            std::vector<Summaries> parts = divideIntoParts(own);
            for (uint32_t part = 0; part < parts.size(); ++part) {
                m_state.sendPeer(sender,
                    BucketSyncReply { request.session, part, static_cast<uint32_t>(parts.size()), m_state.target,
                        { bucket }, parts[part], m_state.mayHoldUnknownFlows() });
            }
            continue;
        }
        if (reply.buckets.size() == maxBucketsPerReply || reply.flows.size() + own.size() > maxFlowsPerMessage) {
            m_state.sendPeer(sender, reply);
            reply.buckets.clear();
            reply.flows.clear();
        }
        reply.buckets.push_back(bucket);
        reply.flows.insert(reply.flows.end(), own.begin(), own.end());
    }
    if (!reply.buckets.empty())
        m_state.sendPeer(sender, reply);
}

void Holder::answerHolderSync(MemberId sender, const HolderSyncRequest& request)
{
    Summaries flows;
    for (size_t i = 0; i < m_state.table.slotCount(); ++i) {
        const FlowRecord* record = m_state.table.at(i);
        if (!record || record->hasRole(FlowRole::held) || record->hasRole(FlowRole::opening))
            continue;
        const Binding& binding = m_state.bindings.at(record->binding);
        if (binding.member == sender && binding.incarnation == request.incarnation)
            flows.push_back(summarize(m_state, *record));
    }
    std::vector<Summaries> parts = divideIntoParts(flows);
    for (uint32_t part = 0; part < parts.size(); ++part) {
        m_state.sendPeer(
            sender, HolderSyncReply { request.session, part, static_cast<uint32_t>(parts.size()), parts[part] });
    }
}

void Holder::startHolderSync()
{
    if (!m_state.directory)
        return;
    m_holderSyncSession = m_random.next() | 1;
    m_holderSyncSources.clear();
    for (const auto& [member, peer] : m_state.peers) {
        if (member != m_state.settings.self && peer.present)
            m_holderSyncSources[member];
    }
    m_nextHolderSyncRequest = m_state.now();
    tickHolderSync();
}

void Holder::directoryChanged()
{
    // When operators take out a data centre, its flows are abandoned and the callers open new ones elsewhere.
    if (m_state.isOwnDataCentreOut())
        closeHeldFlows();
    if (m_state.targetUp && !m_state.heldFlowsKnown && m_holderSyncSession == 0)
        startHolderSync();
}

void Holder::tickHolderSync()
{
    if (m_holderSyncSession == 0)
        return;
    bool send = m_state.now() >= m_nextHolderSyncRequest;
    bool waiting = false;
    for (auto& [member, source] : m_holderSyncSources) {
        const Peer* peer = m_state.peer(member);
        bool reachable = peer && !peer->dataCentreOut
            && (peer->present || m_state.now() - peer->absentSince < m_state.settings.lease);
        if (source.done || !reachable)
            continue;
        waiting = true;
        if (send)
            m_state.sendPeer(member, HolderSyncRequest { m_holderSyncSession, m_state.target });
    }
    if (send)
        m_nextHolderSyncRequest = m_state.now() + holderSyncRequestInterval;
    if (waiting)
        return;
    m_holderSyncSession = 0;
    m_state.heldFlowsKnown = true;
    if (m_owner)
        m_owner->replayAll();
}

void Holder::handleHolderSyncReply(MemberId sender, const HolderSyncReply& reply)
{
    auto found = m_holderSyncSources.find(sender);
    if (m_holderSyncSession == 0 || reply.session != m_holderSyncSession || found == m_holderSyncSources.end())
        return;
    SyncSource& source = found->second;
    if (source.parts.size() != reply.parts)
        source = { false, std::vector<bool>(reply.parts), 0 };
    if (source.parts[reply.part])
        return;
    source.parts[reply.part] = true;
    source.done = ++source.count == reply.parts;
    for (FlowSummary flow : reply.flows) {
        flow.unverified = true;
        adoptFlow(flow);
    }
    tickHolderSync();
}

bool Holder::adoptFlow(const FlowSummary& flow)
{
    if (flow.refusing || !m_state.port(flow.key))
        return false;
    uint64_t hash = flow.key.hash();
    FlowRecord* record = m_state.table.find(flow.key, hash);
    if (record && record->hasRole(FlowRole::held))
        return true;
    // The copy may be older than a report of the present holder of the flow, so the report is preferred.
    if (flow.unverified && record && record->hasRole(FlowRole::owned) && !m_state.isAt(*record, m_state.settings.self))
        return false;
    if (!record)
        record = m_state.table.insert(flow.key, hash, FlowTable::Purpose::Learned);
    if (!record) {
        m_state.count(FlowCounter::ListIncomplete);
        return false;
    }
    m_state.setHolder(*record, m_binding);
    m_state.addRole(*record, FlowRole::held);
    record->initialSequence = flow.initialSequence;
    record->sequenceOrOpenNumber = 0;
    record->flags = static_cast<uint8_t>(flagsFromSummary(flow) | FlowFlag::answered | FlowFlag::established);
    record->lastActivityMs = m_state.nowMs();
    m_admission.flows().acquireExisting();
    m_state.count(FlowCounter::FlowsAdopted);
    if (m_state.owns(m_state.bucketOfHash(hash)))
        m_state.addRole(*record, FlowRole::owned);
    return true;
}

void Holder::answerCheck(MemberId sender, const FlowCheck& check)
{
    if (!m_state.heldFlowsKnown)
        return;
    FlowOpened opened { m_state.settings.self, check.incarnation, {} };
    FlowClosed closed { m_state.settings.self, check.incarnation, {} };
    for (const FlowId& flow : check.flows) {
        const FlowRecord* record = m_state.table.find(flow.key, flow.key.hash());
        if (record && record->hasRole(FlowRole::held) && check.incarnation == m_state.target)
            opened.flows.push_back(summarize(m_state, *record));
        else
            closed.flows.push_back(flow);
    }
    if (!opened.flows.empty())
        m_state.sendPeer(sender, opened);
    if (!closed.flows.empty())
        m_state.sendPeer(sender, closed);
}

void Holder::flushReports()
{
    std::map<MemberId, FlowOpened> opened;
    std::map<MemberId, FlowClosed> closed;
    auto flush = [&](MemberId member, auto& message) {
        message.holder = m_state.settings.self;
        message.incarnation = m_state.target;
        m_state.sendPeer(member, message);
        message.flows.clear();
    };
    auto report = [&](const FlowId& flow, bool wasOpened) {
        const FlowKey& key = flow.key;
        uint64_t hash = key.hash();
        const Member* owner = m_state.buckets->owner(m_state.bucketOfHash(hash));
        const FlowRecord* record = m_state.table.find(key, hash);
        bool held = record && record->hasRole(FlowRole::held);
        if (!owner || held != wasOpened)
            return;
        if (owner->id == m_state.settings.self) {
            m_owner->queueBackupUpdate(key);
        } else if (wasOpened) {
            opened[owner->id].flows.push_back(summarize(m_state, *record));
            if (opened[owner->id].flows.size() == maxFlowsPerMessage)
                flush(owner->id, opened[owner->id]);
        } else {
            closed[owner->id].flows.push_back(flow);
            if (closed[owner->id].flows.size() == maxFlowsPerMessage)
                flush(owner->id, closed[owner->id]);
        }
    };
    for (const FlowKey& key : m_unreportedOpened)
        report({ key, 0, 0 }, true);
    for (const FlowId& flow : m_unreportedClosed)
        report(flow, false);
    m_unreportedOpened.clear();
    m_unreportedClosed.clear();
    for (auto& [member, message] : opened) {
        if (!message.flows.empty())
            flush(member, message);
    }
    for (auto& [member, message] : closed) {
        if (!message.flows.empty())
            flush(member, message);
    }
}

void Holder::sendLoadReports()
{
    const AdaptiveLimit& flows = m_admission.flows();
    uint32_t limit = m_state.targetUp ? flows.limit() : 0;
    uint32_t change = limit > m_reportedLimit ? limit - m_reportedLimit : m_reportedLimit - limit;
    bool report = m_state.now() >= m_nextLoadReport || change > flows.capacity() / 16;
    // Without the lease, members of other data centres are asked for a reply. If none answers, this agent is isolated.
    bool probe = !m_state.hasLease() && m_state.now() >= m_nextProbe;
    if (!report && !probe)
        return;
    for (const auto& [member, peer] : m_state.peers) {
        bool ask = probe && peer.dataCentre != m_state.settings.dataCentre;
        if (peer.present && (report || ask))
            m_state.sendPeer(member, LoadReport { m_state.target, limit, flows.inUse(), ask });
    }
    if (report) {
        m_reportedLimit = limit;
        m_nextLoadReport = m_state.now() + loadReportInterval;
    }
    if (probe)
        m_nextProbe = m_state.now() + probeInterval;
}

void Holder::answerProbe(MemberId sender)
{
    uint32_t limit = m_state.targetUp ? m_admission.flows().limit() : 0;
    m_state.sendPeer(sender, LoadReport { m_state.target, limit, m_admission.flows().inUse(), false });
}

void Holder::tick()
{
    if (!m_state.buckets)
        return;
    tickHolderSync();
    flushReports();
    sendLoadReports();
}

} // namespace cicadaward::flow::detail
