#include "cluster/state.h"

#include "cluster/codec.h"

namespace cicadaward::cluster {

namespace {

    // Retired identities that are remembered; one is added for each lost disk.
    constexpr size_t maxRetired = 4096;

    struct StateImage {
        LogIndex index = 0;
        steering::Configuration configuration;
        std::string text;
        std::set<std::string> out;
        std::map<InstanceId, InstanceAddress> instances;
        std::set<InstanceId> retired;

        MSGPACK_DEFINE_ARRAY(index, configuration, text, out, instances, retired)
    };

} // namespace

void State::apply(LogIndex index, const Command& command)
{
    switch (command.kind) {
    case CommandKind::PutConfiguration:
        if (command.configuration.version <= m_routes.version())
            return;
        m_routes = steering::RouteTable::successor(m_routes, command.configuration);
        m_text = command.text;
        break;
    case CommandKind::SetDataCentre:
        if (command.out ? !m_out.insert(command.dataCentre).second : m_out.erase(command.dataCentre) == 0)
            return;
        break;
    case CommandKind::SetInstance:
        for (auto i = m_instances.begin(); i != m_instances.end();) {
            bool replaced = i->second.peer == command.address.peer && i->first != command.instance;
            if (replaced && m_retired.size() < maxRetired)
                m_retired.insert(i->first);
            i = replaced ? m_instances.erase(i) : std::next(i);
        }
        m_instances[command.instance] = command.address;
        break;
    }
    m_index = index;
}

std::string State::encode() const
{
    return encodeMessage(StateImage { m_index, m_routes.configuration(), m_text, m_out, m_instances, m_retired });
}

bool State::decode(const std::string& bytes)
{
    StateImage image;
    if (!decodeMessage(bytes, image))
        return false;
    m_index = image.index;
    m_routes = steering::RouteTable(std::move(image.configuration));
    m_text = std::move(image.text);
    m_out = std::move(image.out);
    m_instances = std::move(image.instances);
    m_retired = std::move(image.retired);
    return true;
}

ForwardingState State::forwarding() const { return { m_index, m_routes.configuration(), m_out }; }

} // namespace cicadaward::cluster
