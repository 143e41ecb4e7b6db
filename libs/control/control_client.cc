#include "control/control_client.h"

#include <algorithm>
#include <numeric>

namespace cicadaward::control {

namespace detail {

    // Spreads the clients of a failed instance over time, so that they do not all connect in one millisecond.
    constexpr Duration maxSwitchJitter = std::chrono::milliseconds(50);
    constexpr Duration initialBackoff = std::chrono::milliseconds(200);
    // Delay after an empty reply, so that an instance without a newer directory is not polled in a tight loop.
    constexpr Duration emptyReplyDelay = std::chrono::milliseconds(100);

} // namespace detail

ControlClient::ControlClient(const Clock& clock, Random& random, ControlClientSettings settings)
    : m_clock(clock)
    , m_random(random)
    , m_settings(std::move(settings))
    , m_directory(std::make_shared<Directory>())
    , m_order(std::max<size_t>(1, m_settings.instanceInOtherDataCentre.size()))
{
    m_settings.instanceInOtherDataCentre.resize(m_order.size());
    std::iota(m_order.begin(), m_order.end(), 0);
    for (size_t i = m_order.size(); i > 1; --i)
        std::swap(m_order[i - 1], m_order[m_random.below(i)]);
    Time now = m_clock.now();
    m_behindSince = now;
    m_retryAt = now;
    m_nextAnnounce = now;
    m_nextWatch = now;
}

ControlClientActions ControlClient::handle(const ControlClientEvent& event)
{
    m_actions.clear();
    std::visit([this](const auto& typed) { handleEvent(typed); }, event);
    updateContact();
    return std::move(m_actions);
}

void ControlClient::handleEvent(const ClientTick&)
{
    Time now = m_clock.now();
    bool hasAnnouncementTimedOut = m_outstandingAnnouncement.sequence != 0 && now >= m_outstandingAnnouncement.deadline;
    bool hasWatchTimedOut = m_outstandingWatch.sequence != 0 && now >= m_outstandingWatch.deadline;
    if (hasAnnouncementTimedOut || hasWatchTimedOut)
        switchInstance(true);
    else if (m_seen > m_directory->version && now - m_behindSince >= m_settings.staleDirectoryTimeout) {
        m_behindSince = now;
        switchInstance(false);
    }
    if (now < m_retryAt)
        return;
    if (m_outstandingAnnouncement.sequence == 0 && (m_shouldAnnounceNow || now >= m_nextAnnounce))
        announce();
    if (m_outstandingWatch.sequence == 0 && now >= m_nextWatch)
        watch(m_seen > m_directory->version ? Duration(0) : m_settings.watchTimeout);
}

void ControlClient::handleEvent(const AnnounceAnswered& event)
{
    recordInstanceContact(event.instance);
    recordSeenVersion(event.reply.newest);
    if (m_outstandingAnnouncement.sequence == 0 || event.reply.sequence != m_outstandingAnnouncement.sequence)
        return;
    Time sent = m_outstandingAnnouncement.sent;
    m_outstandingAnnouncement = {};
    if (event.reply.status == AnnounceStatus::NeedRecord) {
        m_shouldSendRecord = true;
        m_shouldAnnounceNow = true;
        return;
    }
    if (event.reply.status != AnnounceStatus::Accepted) {
        m_shouldSendRecord = true;
        m_consecutiveFailures = 0;
        m_actions.push_back(AnnouncementRefused { event.reply.status });
        return;
    }
    if (!event.reply.isQuorumConfirmed) {
        switchInstance(true);
        return;
    }
    m_consecutiveFailures = 0;
    m_lastConfirmedAt = std::max(m_lastConfirmedAt.value_or(sent), sent);
    if (m_announcedRevision == m_settings.record.revision)
        m_shouldSendRecord = false;
}

void ControlClient::handleEvent(const WatchAnswered& event)
{
    recordInstanceContact(event.instance);
    recordSeenVersion(event.reply.newest);
    const WatchReply& reply = event.reply;
    bool hasDirectory = reply.delta || reply.snapshot;
    if (reply.snapshot)
        take(std::make_shared<const Directory>(*reply.snapshot));
    else if (reply.delta) {
        auto next = std::make_shared<Directory>(*m_directory);
        if (applyDelta(*reply.delta, *next))
            take(std::move(next));
        else
            ++m_refusedDirectories;
    }
    if (m_outstandingWatch.sequence == 0 || reply.sequence != m_outstandingWatch.sequence)
        return;
    m_outstandingWatch = {};
    m_nextWatch = m_clock.now() + (hasDirectory ? Duration(0) : detail::emptyReplyDelay);
    if (hasDirectory && m_clock.now() >= m_retryAt)
        watch(m_settings.watchTimeout); // acknowledges the version
}

void ControlClient::handleEvent(const InstanceFailed& event)
{
    if (event.instance == instance() && (m_outstandingAnnouncement.sequence != 0 || m_outstandingWatch.sequence != 0))
        switchInstance(true);
}

void ControlClient::handleEvent(const StateChanged& event)
{
    MemberRecord& record = m_settings.record;
    if (record.state == event.state && record.target == event.target)
        return;
    record.state = event.state;
    record.target = event.target;
    ++record.revision;
    m_shouldSendRecord = true;
    announce(); // replaces an announcement that is outstanding
}

void ControlClient::handleEvent(const Leaving&)
{
    if (m_settings.record.leaving)
        return;
    m_settings.record.leaving = true;
    ++m_settings.record.revision;
    m_shouldSendRecord = true;
    announce();
}

void ControlClient::handleEvent(const VersionSeen& event) { recordSeenVersion(event.version); }

void ControlClient::handleEvent(const OtherDataCentreHeard&) { m_otherDataCentreHeardAt = m_clock.now(); }

void ControlClient::announce()
{
    Time now = m_clock.now();
    Announcement announcement;
    announcement.id = memberIdOf(m_settings.record.name);
    announcement.fingerprint = recordFingerprint(m_settings.record.process, m_settings.record.revision);
    announcement.sequence = ++m_sequence;
    announcement.known = std::max(m_seen, m_directory->version);
    announcement.activeEpoch = m_directory->manifestEpoch;
    if (m_shouldSendRecord)
        announcement.record = m_settings.record;
    m_announcedRevision = m_shouldSendRecord ? m_settings.record.revision : 0;
    m_outstandingAnnouncement = { m_sequence, now, now + m_settings.requestTimeout };
    m_shouldAnnounceNow = false;
    m_nextAnnounce = now + interval();
    m_actions.push_back(SendAnnouncement { instance(), std::move(announcement) });
}

void ControlClient::watch(Duration wait)
{
    const MemberRecord& record = m_settings.record;
    WatchRequest request;
    request.member = memberIdOf(record.name);
    request.sequence = ++m_sequence;
    request.known = m_directory->version;
    request.activeEpoch = m_directory->manifestEpoch;
    request.role = record.role;
    if (record.role == MemberRole::Agent) {
        request.service = record.service;
        if (const Service* service = m_directory->findService(record.service))
            request.serviceId = service->id;
    }
    request.waitMs = static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    Time now = m_clock.now();
    m_outstandingWatch = { m_sequence, now, now + wait + m_settings.requestTimeout };
    m_actions.push_back(SendWatch { instance(), std::move(request) });
}

void ControlClient::switchInstance(bool failed)
{
    m_orderIndex = (m_orderIndex + 1) % m_order.size();
    ++m_instanceChanges;
    m_outstandingAnnouncement = {};
    m_outstandingWatch = {};
    m_shouldSendRecord = true;
    m_shouldAnnounceNow = true;
    Time now = m_clock.now();
    m_nextWatch = now;
    auto jitter = [&](Duration most) {
        return Duration(static_cast<Duration::rep>(m_random.unit() * static_cast<double>(most.count())));
    };
    Duration delay = jitter(detail::maxSwitchJitter);
    if (failed && ++m_consecutiveFailures >= m_order.size()) {
        unsigned doublings = std::min<unsigned>(m_consecutiveFailures - static_cast<unsigned>(m_order.size()), 8);
        Duration backoff = std::min<Duration>(detail::initialBackoff * (1 << doublings), m_settings.maxBackoff);
        delay = backoff / 2 + jitter(backoff / 2);
    }
    m_retryAt = now + delay;
}

void ControlClient::recordSeenVersion(DirectoryVersion version)
{
    if (version <= m_seen)
        return;
    if (m_seen <= m_directory->version)
        m_behindSince = m_clock.now();
    m_seen = version;
}

void ControlClient::take(std::shared_ptr<const Directory> directory)
{
    if (directory->version <= m_directory->version || directory->manifestEpoch < m_directory->manifestEpoch
        || !isWellFormed(*directory)) {
        ++m_refusedDirectories;
        return;
    }
    m_directory = std::move(directory);
    if (m_seen <= m_directory->version)
        m_seen = m_directory->version;
    else
        m_behindSince = m_clock.now();
    m_actions.push_back(DirectoryChanged { m_directory });
}

void ControlClient::recordInstanceContact(size_t index)
{
    if (index < m_settings.instanceInOtherDataCentre.size() && m_settings.instanceInOtherDataCentre[index])
        m_otherDataCentreHeardAt = m_clock.now();
}

void ControlClient::updateContact()
{
    Time now = m_clock.now();
    Contact contact = Contact::Valid;
    if (!m_lastConfirmedAt || now - *m_lastConfirmedAt >= lease()) {
        bool hasHeardOtherDataCentre
            = m_otherDataCentreHeardAt && now - *m_otherDataCentreHeardAt < m_settings.isolationTimeout;
        contact = hasHeardOtherDataCentre ? Contact::LeaseExpired : Contact::Isolated;
    }
    if (contact == m_contact)
        return;
    m_contact = contact;
    m_actions.push_back(ContactChanged { contact });
}

} // namespace cicadaward::control
