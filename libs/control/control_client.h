// Client of the control plane in an entry or agent. It announces the process, watches the directory, switches to
// another instance when one does not answer or has no leader, and reports whether the process may place and admit new
// work.
//
//     ControlClient client(clock, random, settings);
//     for (ControlClientAction& action : client.handle(ClientTick {})) // every 50 ms
//         std::visit(driver, action); // SendAnnouncement -> stream to instance, reply -> handle(AnnounceAnswered
//         {...})
//     if (client.contact() == Contact::Valid)
//         placeNewFlows();
//
// One announcement and one watch are outstanding at any time; a reply whose sequence is not the outstanding one is
// used only for its directory. Memory: the directory.
#pragma once

#include "control/messages.h"
#include "core/clock.h"
#include "core/random.h"

#include <memory>

namespace cicadaward::control {

struct ControlClientSettings {
    MemberRecord record; // name, role, service, data centre, tunnel, capacity, process, target, interval, first state
    std::vector<bool>
        instanceInOtherDataCentre; // one for each control instance: true when it is in another data centre
    Duration isolationTimeout = std::chrono::seconds(5);
    // An instance answers an announcement when the leader has answered its batch: up to 250 ms plus two round trips.
    // Short enough to try two failed instances within a lease of 3 s.
    Duration requestTimeout = std::chrono::milliseconds(600);
    Duration watchTimeout = std::chrono::seconds(10);
    // A newer version seen in a packet may reach this process up to 1 s later (see
    // DirectoryRelaySettings::unaffectedDelay).
    Duration staleDirectoryTimeout = std::chrono::milliseconds(1500);
    Duration maxBackoff = std::chrono::seconds(1);
};

// Whether the process may act, see section 3.5 of the design page.
enum class Contact : uint8_t {
    Valid, // an announcement was confirmed by a quorum within the lease
    LeaseExpired, // place and admit no new work; established flows continue
    Isolated, // additionally nothing received from another data centre: stop forwarding
};

// Events.
struct ClientTick { };
struct AnnounceAnswered {
    size_t instance = 0;
    AnnounceReply reply;
};
struct WatchAnswered {
    size_t instance = 0;
    WatchReply reply;
};
// A connection or request failed before its timeout.
struct InstanceFailed {
    size_t instance = 0;
};
// The process's own state changed; it is announced at once.
struct StateChanged {
    MemberState state = MemberState::Warming;
    Incarnation target;
};
// The process stops: it is announced as leaving, and removed.
struct Leaving { };
// A packet or a peer message carried this directory version.
struct VersionSeen {
    DirectoryVersion version;
};
// An authenticated message came from a process of another data centre.
struct OtherDataCentreHeard { };

using ControlClientEvent = std::variant<ClientTick, AnnounceAnswered, WatchAnswered, InstanceFailed, StateChanged,
    Leaving, VersionSeen, OtherDataCentreHeard>;

// Actions.
struct SendAnnouncement {
    size_t instance = 0;
    Announcement announcement;
};
struct SendWatch {
    size_t instance = 0;
    WatchRequest request;
};
struct DirectoryChanged {
    std::shared_ptr<const Directory> directory;
};
struct ContactChanged {
    Contact contact = Contact::Isolated;
};
// The control leader refuses this process (OlderIncarnation, TableFull or Invalid).
struct AnnouncementRefused {
    AnnounceStatus status = AnnounceStatus::Invalid;
};

using ControlClientAction
    = std::variant<SendAnnouncement, SendWatch, DirectoryChanged, ContactChanged, AnnouncementRefused>;
using ControlClientActions = std::vector<ControlClientAction>;

class ControlClient {
public:
    ControlClient(const Clock& clock, Random& random, ControlClientSettings settings);

    ControlClientActions handle(const ControlClientEvent& event);

    // Version (0, 0) before the first answer. An agent's directory holds only its own service and that one's members.
    const std::shared_ptr<const Directory>& directory() const { return m_directory; }
    Contact contact() const { return m_contact; } // as of the last event
    // When the lease ends; nothing before the first confirmed announcement. No directory without this process is
    // published earlier, unless it left or a later process uses its name.
    std::optional<Time> leaseEnd() const
    {
        return m_lastConfirmedAt ? std::optional<Time>(*m_lastConfirmedAt + lease()) : std::nullopt;
    }
    size_t instance() const { return m_order[m_orderIndex]; }
    uint64_t instanceChanges() const { return m_instanceChanges; }
    // Directories refused because they were not newer or would lower the manifest epoch.
    uint64_t refusedDirectories() const { return m_refusedDirectories; }

private:
    void handleEvent(const ClientTick&);
    void handleEvent(const AnnounceAnswered&);
    void handleEvent(const WatchAnswered&);
    void handleEvent(const InstanceFailed&);
    void handleEvent(const StateChanged&);
    void handleEvent(const Leaving&);
    void handleEvent(const VersionSeen&);
    void handleEvent(const OtherDataCentreHeard&);

    Duration interval() const { return std::chrono::milliseconds(m_settings.record.intervalMs); }
    Duration lease() const { return 3 * interval(); }
    void announce();
    void watch(Duration wait);
    void switchInstance(bool failed);
    void recordSeenVersion(DirectoryVersion version);
    void take(std::shared_ptr<const Directory> directory);
    void recordInstanceContact(size_t instance);
    void updateContact();

    const Clock& m_clock;
    Random& m_random;
    ControlClientSettings m_settings;
    ControlClientActions m_actions;

    std::shared_ptr<const Directory> m_directory;
    DirectoryVersion m_seen; // highest version seen
    Time m_behindSince; // when m_seen became newer than the directory

    std::vector<size_t>
        m_order; // of the instances; shuffled, so that the clients of a failed one spread over the others
    size_t m_orderIndex = 0;
    unsigned m_consecutiveFailures = 0; // in a row
    Time m_retryAt; // nothing is sent before
    uint64_t m_instanceChanges = 0;

    uint64_t m_sequence = 0;
    struct OutstandingRequest {
        uint64_t sequence = 0; // 0: none
        Time sent;
        Time deadline;
    };
    OutstandingRequest m_outstandingAnnouncement;
    OutstandingRequest m_outstandingWatch;
    Time m_nextAnnounce;
    Time m_nextWatch;
    bool m_shouldSendRecord = true;
    bool m_shouldAnnounceNow = false;
    uint64_t m_announcedRevision = 0; // of the record in the outstanding announcement; 0 without record

    Contact m_contact = Contact::Isolated;
    std::optional<Time>
        m_lastConfirmedAt; // send time of the last announcement that a leader with a quorum has accepted
    std::optional<Time> m_otherDataCentreHeardAt;
    uint64_t m_refusedDirectories = 0;
};

} // namespace cicadaward::control
