// Sends the messages of a ControlClient over streams to the control instances. Messages are authenticated in both
// directions.
//
//     ControlLink link(base, settings.endpoints("control.peers"), clientSettings, loop.context(), handlers);
//     loop.runEvery(50ms, [&] { link.tick(); });
//
// All functions must be called on the thread of the event loop.
#pragma once

#include "auth/replay_window.h"
#include "control/control_client.h"
#include "daemon.h"
#include "stream/stream_client.h"

#include <functional>
#include <memory>
#include <vector>

namespace cicadaward {

struct ControlLinkHandlers {
    std::function<void(std::shared_ptr<const Directory>)> onDirectory;
    // A quorum backed the answer to the announcement that was sent at `quorumConfirmedAt`; `newest` is the
    // newest version at the answering instance.
    std::function<void(Time quorumConfirmedAt, DirectoryVersion newest)> onQuorumContact;
    std::function<void(control::Contact)> onContactChanged;
};

class ControlLink {
public:
    ControlLink(DaemonBase&, const std::vector<ConfiguredEndpoint>& instances, const control::ControlClientSettings&,
        boost::asio::io_context&, ControlLinkHandlers);

    void tick() { perform(m_client.handle(control::ClientTick {})); }
    void stateChanged(MemberState state, Incarnation target)
    {
        perform(m_client.handle(control::StateChanged { state, target }));
    }
    void versionSeen(DirectoryVersion version) { perform(m_client.handle(control::VersionSeen { version })); }
    void otherDataCentreHeard() { perform(m_client.handle(control::OtherDataCentreHeard {})); }
    void leave() { perform(m_client.handle(control::Leaving {})); }

    control::Contact contact() const { return m_client.contact(); }
    uint64_t bytesSent() const;
    uint64_t bytesReceived() const;

private:
    void perform(const control::ControlClientActions&);
    void perform(const control::SendAnnouncement&);
    void perform(const control::SendWatch&);
    void perform(const control::DirectoryChanged&);
    void perform(const control::ContactChanged&);
    void perform(const control::AnnouncementRefused&);
    // `done` is called with the authenticated payload of the reply, or not at all when the instance failed.
    void post(size_t instance, const char* path, const std::string& payload, Duration timeout,
        std::function<void(const std::string&)> done);

    DaemonBase& m_base;
    MemberId m_self;
    Random m_random;
    control::ControlClient m_client;
    ControlLinkHandlers m_handlers;
    Authenticator m_authenticator;
    MessageSequence m_sequence;
    std::vector<std::unique_ptr<StreamClient>> m_instances;
    Duration m_announceTimeout;
};

// Returns the settings that entries and agents have in common; the caller adds those of its role.
control::ControlClientSettings memberSettings(const DaemonBase&, const Settings&);

// Returns a sealed message for a stream: sender (8 bytes, big-endian), payload, authentication trailer.
std::string sealStreamMessage(
    Authenticator&, MessagePurpose, uint64_t sequence, MemberId sender, const std::string& payload);
// Replaces `message` by its payload. Returns false when the message is not authentic.
bool openStreamMessage(Authenticator&, MessagePurpose, std::string& message, MemberId& sender, uint64_t& sequence);

} // namespace cicadaward
