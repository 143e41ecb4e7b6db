// Serves directories to the subscribers of one control instance: as deltas where the history is long enough, else as
// snapshots.
//
//     relay.advance(directory); // from the leader
//     if (auto reply = relay.watch(request, watch))
//         send(request, *reply);
//     for (auto& [request, reply] : relay.takeDueReplies())
//         send(request, reply);
//
// The history holds only the ids that changed with each version. A delta for a subscriber is made from those ids and
// the current directory, so it has each member at most once, however often it changed. Memory: at most `maxHistory`
// versions with `maxHistoryIds` ids in all, and `maxSubscribers` subscribers.
//
// A version that does not affect an agent is sent to it after at most `unaffectedDelay`, so that a burst of versions
// costs one message. The agent needs the version eventually, because packets from other processes carry it.
#pragma once

#include "control/messages.h"
#include "core/clock.h"

#include <deque>
#include <map>
#include <memory>

namespace cicadaward::control {

// Chosen by the driver for each request that waits for an answer.
using RequestId = Id<struct RequestTag, uint64_t>;

struct DirectoryRelaySettings {
    size_t maxHistory = 256;
    size_t maxHistoryIds = 1 << 16;
    size_t maxSubscribers = 4096;
    Duration maxWait = std::chrono::seconds(10);
    Duration unaffectedDelay = std::chrono::seconds(1);
    Duration subscriberTimeout = std::chrono::seconds(30); // without any watch
};

class DirectoryRelay {
public:
    DirectoryRelay(const Clock& clock, DirectoryRelaySettings settings);

    // Takes a newer directory. Returns false when it is not newer, is malformed or would lower the manifest epoch.
    bool advance(std::shared_ptr<const Directory> directory);
    bool advance(const DirectoryDelta& delta);
    const std::shared_ptr<const Directory>& current() const { return m_current; }

    // The answer, or nothing when the request waits. A new watch of a member replaces its waiting one, which
    // takeDueReplies() answers without content. When there is no room for another subscriber, the answer is empty and
    // comes at once.
    std::optional<WatchReply> watch(RequestId request, const WatchRequest& watch);
    std::vector<std::pair<RequestId, WatchReply>> takeDueReplies();
    void close(RequestId request);

    // What a process at version `known` needs to be up to date; neither delta nor snapshot when it already is.
    WatchReply changesSince(const WatchRequest& watch) const;

    // Acknowledged epochs that changed since the last call.
    std::vector<EpochAcknowledgement> takeNewAcknowledgements();
    size_t countBehind(Epoch epoch, std::vector<std::string>& ids, size_t maxIds) const;
    size_t subscriberCount() const { return m_subscribers.size(); }
    uint64_t snapshotsServed() const { return m_snapshotsServed; }

private:
    struct ChangedMember {
        MemberId id;
        ServiceId service; // before or after the change; two entries when it moved
    };
    struct Change {
        DirectoryVersion base;
        Epoch epoch; // after the change
        bool dataCentres = false;
        std::vector<ServiceId> services;
        std::vector<ChangedMember> members;
    };
    struct Subscriber {
        Epoch acknowledged;
        DirectoryVersion version;
        Time lastWatchAt;
        std::optional<RequestId> waiting;
        WatchRequest watch;
        Time deadline;
        std::optional<Time> unaffectedSince; // since when a version that does not affect it is held back
        DirectoryVersion lastUnaffectedVersion; // last version that was found not to affect it
    };

    Change changeBetween(const Directory& before, const Directory& after) const;
    void appendHistory(Change change);
    ServiceId serviceOf(const WatchRequest& watch) const;
    Directory directoryFor(const WatchRequest& watch) const;
    bool isAffected(const WatchRequest& watch, const WatchReply& reply) const;
    std::optional<WatchReply> replyIfReady(Subscriber& subscriber);

    const Clock& m_clock;
    DirectoryRelaySettings m_settings;
    std::shared_ptr<const Directory> m_current;
    std::deque<Change> m_history;
    size_t m_historyIds = 0;
    // Ordered, so that simulations with equal seeds are identical.
    std::map<MemberId, Subscriber> m_subscribers;
    std::vector<std::pair<RequestId, WatchReply>> m_replacedReplies;
    std::map<MemberId, Epoch> m_acknowledgements;
    mutable uint64_t m_snapshotsServed = 0;
};

} // namespace cicadaward::control
