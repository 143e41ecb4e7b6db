// State that the classes behind AgentRequests share: the directory and lease as this agent sees them (AgentView), the
// actions of the current event (Outbox), and the timer that repeats unanswered messages (RetransmitTimer).
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "request/agent_requests.h"
#include "request/messages.h"

#include <deque>
#include <utility>

namespace cicadaward::request {

// Collects the actions of one event. Messages to this agent itself are queued and delivered at the end of the event.
class Outbox {
public:
    explicit Outbox(MemberId self)
        : m_self(self)
    {
    }

    void send(MemberId to, PeerMessage message)
    {
        if (to == m_self)
            m_localMessages.push_back(std::move(message));
        else
            m_actions.emplace_back(SendPeerMessage { to, encodePeerMessage(message) });
    }
    void addAction(RequestAction action) { m_actions.push_back(std::move(action)); }
    void count(RequestCounter counter, uint64_t by = 1) { m_actions.emplace_back(Count { counter, by }); }

    std::vector<RequestAction> takeActions() { return std::exchange(m_actions, {}); }
    bool hasLocalMessage() const { return !m_localMessages.empty(); }
    PeerMessage takeLocalMessage()
    {
        PeerMessage message = std::move(m_localMessages.front());
        m_localMessages.pop_front();
        return message;
    }

private:
    MemberId m_self;
    std::vector<RequestAction> m_actions;
    std::deque<PeerMessage> m_localMessages;
};

struct AgentView {
    const Clock& clock;
    Random& random;
    const AgentRequestsConfig& config;
    std::shared_ptr<const Directory> directory {};
    std::shared_ptr<const BucketTable> table {};
    Time lastContact {};
    bool hasContact = false;
    bool draining = false;
    bool wasFenced = false; // at any time since the current directory arrived

    Time now() const { return clock.now(); }
    DirectoryVersion version() const { return directory ? directory->version : DirectoryVersion(); }
    // True without control contact for the lease: another agent may have taken over, so this one starts nothing new.
    bool isFenced() const { return !hasContact || now() - lastContact >= config.lease; }
    bool isPresent(MemberId member, Incarnation process) const
    {
        const Member* found = table ? table->member(member) : nullptr;
        return found && found->process == process;
    }
    // False while the directory lists an earlier process of this agent, whose records this process does not have.
    bool isListed() const { return isPresent(config.self, config.process); }
    BucketId bucket(const std::string& key) const
    {
        uint64_t hash = hashBytes(key.data(), key.size(), config.service.value());
        return bucketOf(hash, table ? table->bucketCount() : 1);
    }
    const Member* owner(BucketId bucket) const { return table ? table->owner(bucket) : nullptr; }
    bool owns(BucketId bucket) const
    {
        const Member* found = owner(bucket);
        return found && found->id == config.self && found->process == config.process;
    }
    // When only one member may own buckets, any other member is the backup: otherwise the failure of one process would
    // lose all records.
    const Member* backup(BucketId bucket) const
    {
        if (!table)
            return nullptr;
        if (const Member* found = table->backup(bucket))
            return found;
        for (const Member& member : table->members()) {
            if (member.id != config.self)
                return &member;
        }
        return nullptr;
    }
};

// Timer of a message that is repeated until it is answered. The interval doubles from the configured one up to 8 times
// it.
struct RetransmitTimer {
    Time next {};
    Duration interval {};

    void start(const AgentView& view)
    {
        interval = view.config.retransmitInterval;
        next = view.now() + interval;
    }
    // Returns true and schedules the next repetition if the message is due.
    bool fireIfDue(const AgentView& view)
    {
        if (view.now() < next)
            return false;
        interval = std::min(interval * 2, view.config.retransmitInterval * 8);
        next = view.now() + interval;
        return true;
    }
};

} // namespace cicadaward::request
