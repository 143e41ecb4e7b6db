// The events of the system. The number of an event never changes and is never used again; docs/EVENTS.md is the
// catalogue for operators.
//
//     describeEvent(EventId::Started).name == "started"
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cicadaward {

// 1xx process, 2xx directory and control contact, 3xx target and flows, 4xx packets and messages, 5xx control
// instances, 6xx requests.
enum class EventId : uint16_t {
    Started = 100,
    Stopping = 101,
    Stopped = 102,
    SettingsInvalid = 103,
    KeysLoaded = 104,
    KeysRefused = 105,
    ListenFailed = 106,
    StopLimitReached = 107,
    InternalFault = 108,
    AdminRefused = 109,
    ReloadIgnored = 110,

    DirectoryAccepted = 200,
    DirectoryOlderRefused = 201,
    DirectoryNewerSeen = 202,
    ControlContactLost = 203,
    ControlContactRenewed = 204,
    Isolated = 205,
    IsolationEnded = 206,
    DataCentreOut = 207,
    DataCentreBack = 208,
    StateTaken = 209,
    ReadinessChanged = 210,
    StateBehind = 211,
    StateCaughtUp = 212,

    TargetUp = 300,
    TargetDown = 301,
    TargetDraining = 302,
    TargetCold = 303,
    TargetWarm = 304,
    TargetRestarted = 305,
    FlowTableFull = 306,
    BucketsTaken = 307,
    BucketsSettled = 308,
    BucketSyncLate = 309,
    FlowsRestored = 310,
    FlowDecision = 311,
    DecisionsSuppressed = 312,
    HeartbeatRefused = 313,
    HeartbeatOutdated = 314,
    MemberChanged = 315,
    MemberRegistered = 316,
    TargetEjected = 317,
    TargetHalfOpen = 318,
    TargetRestored = 319,
    HeartbeatClaimed = 323,
    HeartbeatUnnamed = 324,
    FlowsEnded = 325,

    PacketDropped = 400,
    MessageNotAuthenticated = 401,
    MessageReplayed = 402,
    MessageDamaged = 403,
    PeerClosed = 404,
    StreamRefused = 405,
    MessageTooLarge = 406,
    MessagesLost = 407,

    ManifestAccepted = 500,
    ManifestRefused = 501,
    ManifestConflict = 502,
    BecameLeader = 503,
    BecameFollower = 504,
    BecameCandidate = 505,
    QuorumLost = 506,
    StoreFailed = 507,
    StoreTailTruncated = 508,
    StoreDamaged = 509,
    SnapshotTaken = 510,
    SnapshotInstalled = 511,
    MemberAdded = 512,
    MemberRemoved = 513,
    MemberDamped = 514,
    InstanceAdded = 515,
    InstanceRemoved = 516,
    LearnerPromoted = 517,
    ConfigurationInForce = 518,
    OrderRefused = 519,
    OrderExpired = 520,
    OrderAnswered = 521,
    GroupChanged = 522,
    StoreReopened = 523,
    MembersRegistered = 524,
    MembersRemoved = 525,
    AnnouncementRefused = 526,
    FlowRecordsUnreadable = 527,
    FlowRecordsNotWritten = 528,

    RetryBudgetSpent = 600,
    RequestIdConflict = 601,
    RequestOutcomeUnknown = 602,
    AmnesiaStarted = 603,
    AmnesiaEnded = 604,
};

enum class EventLevel {
    Info,
    Warning, // works, but an operator may want to look
    Error, // something does not work
};

struct EventInfo {
    EventId id;
    EventLevel level;
    const char* name;
    const char* meaning;
};

// All events, in the order of their numbers.
const std::vector<EventInfo>& allEvents();
const EventInfo& describeEvent(EventId id);

// Markdown table with one row for each event.
std::string eventCatalogue();

} // namespace cicadaward
