#include "observe/events.h"

#include <algorithm>

namespace cicadaward {
namespace {

    const char* levelName(EventLevel level)
    {
        switch (level) {
        case EventLevel::Info:
            return "info";
        case EventLevel::Warning:
            return "warning";
        case EventLevel::Error:
            return "error";
        }
        return "";
    }

} // namespace

const std::vector<EventInfo>& allEvents()
{
    static const std::vector<EventInfo> events {
        { EventId::Started, EventLevel::Info, "started", "the process is ready" },
        { EventId::Stopping, EventLevel::Info, "stopping", "a planned stop has begun" },
        { EventId::Stopped, EventLevel::Info, "stopped", "the process ends" },
        { EventId::SettingsInvalid, EventLevel::Error, "settings-invalid", "a finding in the settings; start refused" },
        { EventId::KeysLoaded, EventLevel::Info, "keys-loaded", "the key file was read; fields name the key ids" },
        { EventId::KeysRefused, EventLevel::Error, "keys-refused", "the key file is invalid; the former keys stay" },
        { EventId::ListenFailed, EventLevel::Error, "listen-failed", "an address or port cannot be bound" },
        { EventId::StopLimitReached, EventLevel::Warning, "stop-limit-reached",
            "a planned stop took longer than its limit; remaining work is abandoned" },
        { EventId::InternalFault, EventLevel::Error, "internal-fault", "a state that must not occur; please report" },
        { EventId::AdminRefused, EventLevel::Warning, "admin-refused",
            "a change through the administration API had no valid token" },
        { EventId::ReloadIgnored, EventLevel::Info, "reload-ignored",
            "SIGHUP: changed settings take effect at the next start" },

        { EventId::DirectoryAccepted, EventLevel::Info, "directory-accepted", "a newer directory is in force" },
        { EventId::DirectoryOlderRefused, EventLevel::Warning, "directory-older-refused",
            "a directory older than the known one was offered and refused" },
        { EventId::DirectoryNewerSeen, EventLevel::Info, "directory-newer-seen",
            "a peer uses a newer directory; it is requested" },
        { EventId::ControlContactLost, EventLevel::Warning, "control-contact-lost",
            "no answer backed by a quorum for the lease; no new work is placed or admitted" },
        { EventId::ControlContactRenewed, EventLevel::Info, "control-contact-renewed",
            "answers backed by a quorum arrive again" },
        { EventId::Isolated, EventLevel::Error, "isolated",
            "no word from another data centre either; forwarding has stopped" },
        { EventId::IsolationEnded, EventLevel::Info, "isolation-ended", "forwarding has resumed" },
        { EventId::DataCentreOut, EventLevel::Warning, "data-centre-out", "a data centre was taken out" },
        { EventId::DataCentreBack, EventLevel::Info, "data-centre-back", "a data centre was brought back" },
        { EventId::StateTaken, EventLevel::Info, "state-taken",
            "a newer replicated state is in force in this process" },
        { EventId::ReadinessChanged, EventLevel::Info, "readiness-changed",
            "the process starts or stops telling the fabric that it can forward" },
        { EventId::StateBehind, EventLevel::Warning, "state-behind",
            "a newer replicated state was heard of a while ago and is not in force in this process" },
        { EventId::StateCaughtUp, EventLevel::Info, "state-caught-up",
            "the newest replicated state that was heard of is in force again" },

        { EventId::TargetUp, EventLevel::Info, "target-up", "the target answers" },
        { EventId::TargetDown, EventLevel::Warning, "target-down", "the target does not answer" },
        { EventId::TargetDraining, EventLevel::Info, "target-draining", "the target takes no new work" },
        { EventId::TargetCold, EventLevel::Warning, "target-cold", "the limit of a cold target applies" },
        { EventId::TargetWarm, EventLevel::Info, "target-warm", "the target bears its full capacity" },
        { EventId::TargetRestarted, EventLevel::Warning, "target-restarted",
            "the target has a new incarnation; its former flows are reset" },
        { EventId::FlowTableFull, EventLevel::Error, "flow-table-full", "new flows are refused" },
        { EventId::BucketsTaken, EventLevel::Info, "buckets-taken", "this agent now owns more buckets and syncs them" },
        { EventId::BucketsSettled, EventLevel::Info, "buckets-settled", "all owned buckets accept new flows" },
        { EventId::BucketSyncLate, EventLevel::Warning, "bucket-sync-late",
            "a member has not answered; the bucket waits for its lease" },
        { EventId::FlowsRestored, EventLevel::Info, "flows-restored",
            "after a restart, owners and backups reported the flows held here" },
        { EventId::FlowDecision, EventLevel::Info, "flow-decision",
            "a decision on a flow: caller, service address, member, reason, version, load, index of the state here, "
            "and of that of the process that sent the frame" },
        { EventId::DecisionsSuppressed, EventLevel::Warning, "decisions-suppressed",
            "flow decisions beyond the log's rate limit; the counters have them all" },
        { EventId::HeartbeatRefused, EventLevel::Warning, "heartbeat-refused",
            "a call of the target is malformed; nothing changed" },
        { EventId::HeartbeatOutdated, EventLevel::Info, "heartbeat-outdated",
            "a heartbeat is late or from an earlier start of the target; nothing changed" },
        { EventId::MemberChanged, EventLevel::Info, "member-changed", "a member's newer record was taken" },
        { EventId::MemberRegistered, EventLevel::Info, "member-registered",
            "the members' register has the target's start; it may get new flows" },
        { EventId::TargetEjected, EventLevel::Warning, "target-ejected",
            "the target fails requests and takes no new flows for a pause; names the newest failure and its age" },
        { EventId::TargetHalfOpen, EventLevel::Info, "target-half-open",
            "the pause has ended; the target takes one new flow at a time until they are answered" },
        { EventId::TargetRestored, EventLevel::Info, "target-restored",
            "the target answers again and takes new flows" },
        { EventId::HeartbeatClaimed, EventLevel::Warning, "heartbeat-claimed",
            "a heartbeat names another start while the registered target may live; no new flows until that is clear" },
        { EventId::HeartbeatUnnamed, EventLevel::Warning, "heartbeat-unnamed",
            "a heartbeat names a service that the configuration in force does not name; it waits for one that does" },
        { EventId::FlowsEnded, EventLevel::Info, "flows-ended",
            "recorded flows of an earlier start of the target were reset towards their callers" },

        { EventId::PacketDropped, EventLevel::Warning, "packet-dropped",
            "packets dropped for one reason; at most one line for each reason and second, with the count" },
        { EventId::MessageNotAuthenticated, EventLevel::Warning, "message-not-authenticated",
            "the keyed hash of a message is wrong or its key is unknown" },
        { EventId::MessageReplayed, EventLevel::Warning, "message-replayed",
            "the sequence number of a message was used before" },
        { EventId::MessageDamaged, EventLevel::Warning, "message-damaged",
            "an authenticated message cannot be decoded" },
        { EventId::PeerClosed, EventLevel::Warning, "peer-closed",
            "a stream was closed because of what the peer sent" },
        { EventId::StreamRefused, EventLevel::Warning, "stream-refused", "a request on a stream exceeded a bound" },
        { EventId::MessageTooLarge, EventLevel::Error, "message-too-large",
            "a control message exceeds the largest size and was not sent" },
        { EventId::MessagesLost, EventLevel::Warning, "messages-lost",
            "control messages arrived damaged, too large or in part; at most one line a second, with the counts so "
            "far" },

        { EventId::ManifestAccepted, EventLevel::Info, "manifest-accepted", "a manifest is in the replicated log" },
        { EventId::ManifestRefused, EventLevel::Warning, "manifest-refused", "a manifest is invalid or too old" },
        { EventId::ManifestConflict, EventLevel::Warning, "manifest-conflict",
            "another manifest with the same version was accepted before" },
        { EventId::BecameLeader, EventLevel::Info, "became-leader", "this control instance leads" },
        { EventId::BecameFollower, EventLevel::Info, "became-follower", "this control instance follows" },
        { EventId::BecameCandidate, EventLevel::Info, "became-candidate", "this control instance asks for votes" },
        { EventId::QuorumLost, EventLevel::Error, "quorum-lost",
            "the leader does not reach a majority and steps down" },
        { EventId::StoreFailed, EventLevel::Error, "store-failed",
            "the store could not write, sync or open; the control instance of the fabric opens it again, "
            "cicadaward-control stops" },
        { EventId::StoreTailTruncated, EventLevel::Warning, "store-tail-truncated",
            "an incomplete last record was removed at start" },
        { EventId::StoreDamaged, EventLevel::Error, "store-damaged",
            "a record before the last one is damaged; start refused" },
        { EventId::SnapshotTaken, EventLevel::Info, "snapshot-taken", "the log up to an index became a snapshot" },
        { EventId::SnapshotInstalled, EventLevel::Info, "snapshot-installed", "a snapshot came from the leader" },
        { EventId::MemberAdded, EventLevel::Info, "member-added", "a member announced itself" },
        { EventId::MemberRemoved, EventLevel::Warning, "member-removed", "the lease of a member has expired" },
        { EventId::MemberDamped, EventLevel::Warning, "member-damped",
            "a member came and went repeatedly and must stay reachable before it is warm" },
        { EventId::InstanceAdded, EventLevel::Info, "instance-added", "a control instance joined as a learner" },
        { EventId::InstanceRemoved, EventLevel::Info, "instance-removed", "a control instance left the set of voters" },
        { EventId::LearnerPromoted, EventLevel::Info, "learner-promoted", "a learner is synced and votes" },
        { EventId::ConfigurationInForce, EventLevel::Info, "configuration-in-force",
            "a configuration is committed and applied" },
        { EventId::OrderRefused, EventLevel::Warning, "order-refused",
            "an operator's order is invalid; the answer lists all findings" },
        { EventId::OrderExpired, EventLevel::Warning, "order-expired", "an order was not committed in time" },
        { EventId::OrderAnswered, EventLevel::Info, "order-answered", "an operator's order or read was answered" },
        { EventId::GroupChanged, EventLevel::Info, "group-changed",
            "the leader changes the membership of the control group" },
        { EventId::StoreReopened, EventLevel::Info, "store-reopened",
            "the store is open, after the start or a failure" },
        { EventId::MembersRegistered, EventLevel::Info, "members-registered",
            "starts of targets entered the members' register" },
        { EventId::MembersRemoved, EventLevel::Info, "members-removed", "departed targets left the members' register" },
        { EventId::AnnouncementRefused, EventLevel::Warning, "announcement-refused",
            "a process announced a member that is not itself; at most once a second" },
        { EventId::FlowRecordsUnreadable, EventLevel::Warning, "flow-records-unreadable",
            "the file of the flow records is damaged; flows that only it lists are not reset" },
        { EventId::FlowRecordsNotWritten, EventLevel::Warning, "flow-records-not-written",
            "the file of the flow records could not be written; at most once in 10 s" },

        { EventId::RetryBudgetSpent, EventLevel::Warning, "retry-budget-spent",
            "a request was not retried because the retry budget is spent" },
        { EventId::RequestIdConflict, EventLevel::Warning, "request-id-conflict",
            "the same request id came with another body" },
        { EventId::RequestOutcomeUnknown, EventLevel::Warning, "request-outcome-unknown",
            "the caller was told that the outcome is unknown" },
        { EventId::AmnesiaStarted, EventLevel::Warning, "amnesia-started",
            "request records may be missing; older non-repeatable ids get the answer unknown" },
        { EventId::AmnesiaEnded, EventLevel::Info, "amnesia-ended", "the record lifetime has passed" },
    };
    return events;
}

const EventInfo& describeEvent(EventId id)
{
    const std::vector<EventInfo>& events = allEvents();
    const auto found = std::lower_bound(
        events.begin(), events.end(), id, [](const EventInfo& info, EventId wanted) { return info.id < wanted; });
    return found != events.end() && found->id == id ? *found : describeEvent(EventId::InternalFault);
}

std::string eventCatalogue()
{
    std::string text = "| number | level | name | meaning |\n|---|---|---|---|\n";
    for (const EventInfo& event : allEvents()) {
        text += "| " + std::to_string(static_cast<int>(event.id)) + " | " + levelName(event.level) + " | `" + event.name
            + "` | " + event.meaning + " |\n";
    }
    return text;
}

} // namespace cicadaward
