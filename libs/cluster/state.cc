#include "cluster/state.h"

#include "cluster/codec.h"

namespace cicadaward::cluster {

namespace {

    // Bounds the retired instance IDs, one for each lost disk.
    constexpr size_t maxRetired = 4096;

    struct StateImage {
        LogIndex index = 0;
        steering::Configuration configuration;
        std::string text;
        std::set<std::string> evacuatedDataCentres;
        std::map<InstanceId, InstanceAddress> instances;
        std::set<InstanceId> retired;
        std::vector<steering::MemberRecord> members; // absent in snapshots of earlier versions

        MSGPACK_DEFINE_ARRAY(index, configuration, text, evacuatedDataCentres, instances, retired, members)
    };

} // namespace

void State::apply(LogIndex index, const Command& command)
{
    bool changed = false; // whether the index rises and pollers are notified
    switch (command.kind) {
    case CommandKind::PutConfiguration:
        changed = applyConfiguration(command);
        break;
    case CommandKind::SetDataCentre:
        changed = applyDataCentre(command);
        break;
    case CommandKind::SetInstance:
        applyInstance(command);
        changed = true;
        break;
    case CommandKind::RegisterMembers:
        for (const steering::MemberRecord& record : command.members)
            registerMember(record);
        break;
    case CommandKind::RemoveMembers:
        for (const steering::MemberRecord& record : command.members) {
            if (isRegistered(record))
                m_members.erase(record.agent);
        }
        break;
    }
    if (changed)
        m_index = index;
}

bool State::applyConfiguration(const Command& command)
{
    if (command.configuration.version <= m_routes.version())
        return false;
    m_routes = steering::RouteTable::successor(m_routes, command.configuration);
    m_compressedText = command.compressedText;
    return true;
}

bool State::applyDataCentre(const Command& command)
{
    return command.isEvacuated ? m_evacuatedDataCentres.insert(command.dataCentre).second
                               : m_evacuatedDataCentres.erase(command.dataCentre) != 0;
}

void State::applyInstance(const Command& command)
{
    for (auto i = m_instances.begin(); i != m_instances.end();) {
        bool replaced = i->second.peer == command.address.peer && i->first != command.instance;
        if (replaced && m_retired.size() < maxRetired)
            m_retired.insert(i->first);
        i = replaced ? m_instances.erase(i) : std::next(i);
    }
    m_instances[command.instance] = command.address;
}

// A delayed record that is older than the registered one has no effect.
void State::registerMember(const steering::MemberRecord& record)
{
    auto found = m_members.find(record.agent);
    if (found == m_members.end() && m_members.size() < steering::maxMembers)
        m_members[record.agent] = record;
    else if (found != m_members.end() && record.isNewerThan(found->second))
        found->second = record;
}

bool State::isRegistered(const steering::MemberRecord& record) const
{
    auto found = m_members.find(record.agent);
    return found != m_members.end() && found->second.isSameTargetStart(record);
}

std::string State::encode() const
{
    std::vector<steering::MemberRecord> members;
    members.reserve(m_members.size());
    for (const auto& [agent, record] : m_members)
        members.push_back(record);
    return encodeMessage(StateImage { m_index, m_routes.configuration(), m_compressedText, m_evacuatedDataCentres,
        m_instances, m_retired, std::move(members) });
}

bool State::decode(const std::string& bytes)
{
    StateImage image;
    if (!decodeMessage(bytes, image))
        return false;
    m_index = image.index;
    m_routes = steering::RouteTable(std::move(image.configuration));
    m_compressedText = std::move(image.text);
    m_evacuatedDataCentres = std::move(image.evacuatedDataCentres);
    m_instances = std::move(image.instances);
    m_retired = std::move(image.retired);
    m_members.clear();
    for (steering::MemberRecord& record : image.members)
        m_members[record.agent] = std::move(record);
    return true;
}

ForwardingState State::forwardingState() const { return { m_index, m_routes.configuration(), m_evacuatedDataCentres }; }

} // namespace cicadaward::cluster
