#include "control_link.h"

#include <boost/endian/conversion.hpp>
#include <cstring>

namespace cicadaward {

std::string sealStreamMessage(Authenticator& authenticator, MessagePurpose purpose, uint64_t sequence, MemberId sender,
    const std::string& payload)
{
    uint64_t id = boost::endian::native_to_big(sender.value());
    std::string message(reinterpret_cast<const char*>(&id), sizeof(id));
    message += payload;
    authenticator.seal(message, purpose, sequence);
    return message;
}

bool openStreamMessage(
    Authenticator& authenticator, MessagePurpose purpose, std::string& message, MemberId& sender, uint64_t& sequence)
{
    OpenResult opened = authenticator.open(message, purpose);
    uint64_t id;
    if (opened.status != OpenStatus::Valid || message.size() < sizeof(id))
        return false;
    std::memcpy(&id, message.data(), sizeof(id));
    sender = MemberId(boost::endian::big_to_native(id));
    sequence = opened.sequence;
    message.erase(0, sizeof(id));
    return true;
}

control::ControlClientSettings memberSettings(const DaemonBase& base, const Settings& settings)
{
    control::ControlClientSettings member;
    member.record.name = settings.text("instance.name");
    member.record.dataCentre = settings.text("instance.data-centre");
    member.record.tunnel = toEndpoint(settings.endpoint("listen.tunnel"));
    member.record.process = base.process;
    member.record.intervalMs = static_cast<uint32_t>(settings.duration("control.announce-interval-ms").count());
    // The settings do not say in which data centre a control instance is, so none counts as evidence that another data
    // centre can be reached.
    member.instanceInOtherDataCentre.assign(settings.endpoints("control.peers").size(), false);
    member.isolationTimeout = settings.duration("control.isolation-ms");
    return member;
}

ControlLink::ControlLink(DaemonBase& base, const std::vector<ConfiguredEndpoint>& instances,
    const control::ControlClientSettings& settings, boost::asio::io_context& context, ControlLinkHandlers handlers)
    : m_base(base)
    , m_self(control::memberIdOf(settings.record.name))
    , m_random(base.seed)
    , m_client(DaemonBase::clock(), m_random, settings)
    , m_handlers(std::move(handlers))
    , m_authenticator(base.keys)
    , m_sequence(base.process)
    , m_announceTimeout(settings.requestTimeout)
{
    for (const ConfiguredEndpoint& instance : instances)
        m_instances.push_back(std::make_unique<StreamClient>(context,
            boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4(instance.address), instance.port),
            Random(m_random.next())));
}

uint64_t ControlLink::bytesSent() const
{
    uint64_t sum = 0;
    for (const auto& instance : m_instances)
        sum += instance->counters().bytesSent;
    return sum;
}

uint64_t ControlLink::bytesReceived() const
{
    uint64_t sum = 0;
    for (const auto& instance : m_instances)
        sum += instance->counters().bytesReceived;
    return sum;
}

void ControlLink::perform(const control::ControlClientActions& actions)
{
    for (const control::ControlClientAction& action : actions)
        std::visit([this](const auto& each) { perform(each); }, action);
}

void ControlLink::post(size_t instance, const char* path, const std::string& payload, Duration timeout,
    std::function<void(const std::string&)> done)
{
    std::string message
        = sealStreamMessage(m_authenticator, MessagePurpose::ControlRequest, m_sequence.next(), m_self, payload);
    m_instances[instance]->post(path, std::move(message),
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout),
        [this, instance, done = std::move(done)](absl::StatusOr<std::string> reply) {
            MemberId sender;
            uint64_t sequence = 0;
            if (!reply.ok()) {
                perform(m_client.handle(control::InstanceFailed { instance }));
                return;
            }
            if (!openStreamMessage(m_authenticator, MessagePurpose::ControlReply, *reply, sender, sequence)) {
                m_base.metrics.counter("control.not_authenticated").add();
                return;
            }
            done(*reply);
        });
}

void ControlLink::perform(const control::SendAnnouncement& action)
{
    Time sent = DaemonBase::clock().now();
    post(action.instance, "/announce", encodeMessage(action.announcement), m_announceTimeout,
        [this, instance = action.instance, sent](const std::string& payload) {
            control::AnnounceReply reply;
            if (!decodeMessage(payload, reply))
                return;
            if (reply.isQuorumConfirmed)
                m_handlers.onQuorumContact(sent, reply.newest);
            perform(m_client.handle(control::AnnounceAnswered { instance, reply }));
        });
}

void ControlLink::perform(const control::SendWatch& action)
{
    auto timeout = std::chrono::milliseconds(action.request.waitMs) + m_announceTimeout;
    post(action.instance, "/watch", encodeMessage(action.request), timeout,
        [this, instance = action.instance](const std::string& payload) {
            control::WatchReply reply;
            if (decodeMessage(payload, reply))
                perform(m_client.handle(control::WatchAnswered { instance, reply }));
        });
}

void ControlLink::perform(const control::DirectoryChanged& action)
{
    m_base.log->write(EventId::DirectoryAccepted,
        { { "term", action.directory->version.term.value() }, { "sequence", action.directory->version.sequence },
            { "manifest", action.directory->manifestVersion }, { "members", action.directory->members.size() } });
    m_handlers.onDirectory(action.directory);
}

void ControlLink::perform(const control::ContactChanged& action)
{
    switch (action.contact) {
    case control::Contact::Valid:
        m_base.log->write(EventId::ControlContactRenewed, {});
        break;
    case control::Contact::LeaseExpired:
        m_base.log->write(EventId::ControlContactLost, {});
        break;
    case control::Contact::Isolated:
        m_base.log->write(EventId::Isolated, {});
        break;
    }
    m_handlers.onContactChanged(action.contact);
}

void ControlLink::perform(const control::AnnouncementRefused& action)
{
    m_base.log->write(EventId::InternalFault,
        { { "reason", "announcement refused" }, { "status", static_cast<int>(action.status) } });
}

} // namespace cicadaward
