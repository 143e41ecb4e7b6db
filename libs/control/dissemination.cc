#include "control/dissemination.h"

#include <algorithm>

namespace cicadaward::control {

DirectoryRelay::DirectoryRelay(const Clock& clock, DirectoryRelaySettings settings)
    : m_clock(clock)
    , m_settings(settings)
    , m_current(std::make_shared<Directory>())
{
}

bool DirectoryRelay::advance(std::shared_ptr<const Directory> directory)
{
    if (!directory || directory->version <= m_current->version || directory->manifestEpoch < m_current->manifestEpoch
        || !isWellFormed(*directory))
        return false;
    appendHistory(changeBetween(*m_current, *directory));
    m_current = std::move(directory);
    return true;
}

bool DirectoryRelay::advance(const DirectoryDelta& delta)
{
    if (delta.base != m_current->version)
        return false;
    auto next = std::make_shared<Directory>(*m_current);
    return applyDelta(delta, *next) && advance(std::move(next));
}

DirectoryRelay::Change DirectoryRelay::changeBetween(const Directory& before, const Directory& after) const
{
    DirectoryDelta delta = makeDelta(before, after);
    Change change;
    change.base = before.version;
    change.epoch = after.manifestEpoch;
    change.dataCentres = delta.dataCentresChanged;
    change.services = std::move(delta.removedServices);
    for (const Service& service : delta.services)
        change.services.push_back(service.id);
    auto add = [&](MemberId id) {
        const Member* old = before.findMember(id);
        const Member* now = after.findMember(id);
        if (old)
            change.members.push_back({ id, old->service });
        if (now && (!old || old->service != now->service))
            change.members.push_back({ id, now->service });
    };
    for (MemberId id : delta.removedMembers)
        add(id);
    for (const Member& member : delta.members)
        add(member.id);
    return change;
}

void DirectoryRelay::appendHistory(Change change)
{
    m_historyIds += change.members.size() + change.services.size();
    m_history.push_back(std::move(change));
    while (
        !m_history.empty() && (m_history.size() > m_settings.maxHistory || m_historyIds > m_settings.maxHistoryIds)) {
        m_historyIds -= m_history.front().members.size() + m_history.front().services.size();
        m_history.pop_front();
    }
}

ServiceId DirectoryRelay::serviceOf(const WatchRequest& watch) const
{
    const Service* service = m_current->findService(watch.service);
    return service ? service->id : ServiceId();
}

Directory DirectoryRelay::directoryFor(const WatchRequest& watch) const
{
    if (watch.role == MemberRole::Entry)
        return *m_current;
    Directory result;
    result.version = m_current->version;
    result.manifestEpoch = m_current->manifestEpoch;
    result.manifestVersion = m_current->manifestVersion;
    result.dataCentres = m_current->dataCentres;
    ServiceId id = serviceOf(watch);
    if (const Service* service = m_current->findService(id))
        result.services.push_back(*service);
    for (const Member& member : m_current->members) {
        if (member.role == MemberRole::Agent && member.service == id)
            result.members.push_back(member);
    }
    return result;
}

WatchReply DirectoryRelay::changesSince(const WatchRequest& watch) const
{
    WatchReply reply;
    reply.sequence = watch.sequence;
    reply.newest = m_current->version;
    if (watch.known >= m_current->version)
        return reply;
    bool agent = watch.role == MemberRole::Agent;
    ServiceId own = agent ? serviceOf(watch) : ServiceId();
    auto first = std::find_if(
        m_history.begin(), m_history.end(), [&](const Change& change) { return change.base == watch.known; });
    // An agent whose service got another id needs members that no delta since then has listed.
    if (watch.known == DirectoryVersion() || first == m_history.end() || (agent && own != watch.serviceId)) {
        ++m_snapshotsServed;
        reply.snapshot = directoryFor(watch);
        return reply;
    }
    DirectoryDelta delta;
    delta.base = watch.known;
    delta.version = m_current->version;
    delta.manifestEpoch = m_current->manifestEpoch;
    delta.manifestVersion = m_current->manifestVersion;
    std::vector<ServiceId> services;
    std::vector<MemberId> members;
    for (auto change = first; change != m_history.end(); ++change) {
        delta.dataCentresChanged = delta.dataCentresChanged || change->dataCentres;
        for (ServiceId id : change->services) {
            if (!agent || id == own)
                services.push_back(id);
        }
        for (const ChangedMember& member : change->members) {
            // Entries have no service, and neither has an agent whose service the manifest does not name.
            if (!agent || (own != ServiceId() && member.service == own))
                members.push_back(member.id);
        }
    }
    if (delta.dataCentresChanged)
        delta.dataCentres = m_current->dataCentres;
    auto unique = [](auto& ids) {
        std::sort(ids.begin(), ids.end());
        ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    };
    unique(services);
    unique(members);
    for (ServiceId id : services) {
        if (const Service* service = m_current->findService(id))
            delta.services.push_back(*service);
        else
            delta.removedServices.push_back(id);
    }
    for (MemberId id : members) {
        const Member* member = m_current->findMember(id);
        if (member && (!agent || member->service == own))
            delta.members.push_back(*member);
        else
            delta.removedMembers.push_back(id);
    }
    reply.delta = std::move(delta);
    return reply;
}

bool DirectoryRelay::isAffected(const WatchRequest& watch, const WatchReply& reply) const
{
    return reply.snapshot || (reply.delta && !reply.delta->isEmpty()) || watch.activeEpoch != m_current->manifestEpoch;
}

std::optional<WatchReply> DirectoryRelay::replyIfReady(Subscriber& subscriber)
{
    Time now = m_clock.now();
    if (m_current->version > subscriber.watch.known) {
        bool isKnownUnaffected = subscriber.unaffectedSince && subscriber.lastUnaffectedVersion == m_current->version;
        if (isKnownUnaffected && now - *subscriber.unaffectedSince < m_settings.unaffectedDelay
            && now < subscriber.deadline)
            return std::nullopt;
        WatchReply reply = changesSince(subscriber.watch);
        if (isAffected(subscriber.watch, reply) || subscriber.watch.waitMs == 0)
            return reply;
        if (!subscriber.unaffectedSince)
            subscriber.unaffectedSince = now;
        subscriber.lastUnaffectedVersion = m_current->version;
        if (now - *subscriber.unaffectedSince >= m_settings.unaffectedDelay || now >= subscriber.deadline)
            return reply;
        return std::nullopt;
    }
    if (now < subscriber.deadline)
        return std::nullopt;
    WatchReply reply;
    reply.sequence = subscriber.watch.sequence;
    reply.newest = m_current->version;
    return reply;
}

std::optional<WatchReply> DirectoryRelay::watch(RequestId request, const WatchRequest& watch)
{
    auto found = m_subscribers.find(watch.member);
    if (found == m_subscribers.end()) {
        if (m_subscribers.size() >= m_settings.maxSubscribers) {
            WatchReply reply;
            reply.sequence = watch.sequence;
            return reply;
        }
        found = m_subscribers.emplace(watch.member, Subscriber()).first;
    }
    Subscriber& subscriber = found->second;
    if (subscriber.waiting && *subscriber.waiting != request) {
        WatchReply empty;
        empty.sequence = subscriber.watch.sequence;
        empty.newest = m_current->version;
        m_replacedReplies.emplace_back(*subscriber.waiting, std::move(empty));
    }
    if (subscriber.acknowledged != watch.activeEpoch)
        m_acknowledgements[watch.member] = watch.activeEpoch;
    subscriber.acknowledged = watch.activeEpoch;
    subscriber.version = watch.known;
    subscriber.lastWatchAt = m_clock.now();
    subscriber.watch = watch;
    subscriber.unaffectedSince.reset();
    Duration wait = std::min<Duration>(std::chrono::milliseconds(watch.waitMs), m_settings.maxWait);
    subscriber.deadline = m_clock.now() + wait;
    subscriber.waiting = request;
    std::optional<WatchReply> reply = replyIfReady(subscriber);
    if (reply)
        subscriber.waiting.reset();
    return reply;
}

std::vector<std::pair<RequestId, WatchReply>> DirectoryRelay::takeDueReplies()
{
    std::vector<std::pair<RequestId, WatchReply>> replies;
    replies.swap(m_replacedReplies);
    Time now = m_clock.now();
    for (auto it = m_subscribers.begin(); it != m_subscribers.end();) {
        Subscriber& subscriber = it->second;
        if (!subscriber.waiting) {
            if (now - subscriber.lastWatchAt > m_settings.subscriberTimeout)
                m_subscribers.erase(it++);
            else
                ++it;
            continue;
        }
        if (std::optional<WatchReply> reply = replyIfReady(subscriber)) {
            replies.emplace_back(*subscriber.waiting, std::move(*reply));
            subscriber.waiting.reset();
        }
        ++it;
    }
    return replies;
}

void DirectoryRelay::close(RequestId request)
{
    for (auto& [id, subscriber] : m_subscribers) {
        if (subscriber.waiting == request)
            subscriber.waiting.reset();
    }
}

std::vector<EpochAcknowledgement> DirectoryRelay::takeNewAcknowledgements()
{
    std::vector<EpochAcknowledgement> result;
    for (const auto& [id, epoch] : m_acknowledgements)
        result.push_back({ id, epoch });
    m_acknowledgements.clear();
    return result;
}

size_t DirectoryRelay::countBehind(Epoch epoch, std::vector<std::string>& ids, size_t maxIds) const
{
    size_t count = 0;
    for (const auto& [id, subscriber] : m_subscribers) {
        if (subscriber.acknowledged >= epoch)
            continue;
        ++count;
        if (ids.size() < maxIds)
            ids.push_back(std::to_string(id.value()));
    }
    return count;
}

} // namespace cicadaward::control
