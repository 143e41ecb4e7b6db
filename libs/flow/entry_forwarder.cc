#include "flow/entry_forwarder.h"

namespace cicadaward::flow {

void EntryForwarder::install(const Directory& directory)
{
    if (m_table && directory.version <= m_table->version())
        return;
    m_table = std::make_unique<RoutingTable>(directory);
    m_isDataCentreOut = directory.isTakenOut(m_dataCentre);
}

EntryVerdict EntryForwarder::forward(const uint8_t* packet, size_t size, Forwarding& forwarding) const
{
    if (m_isDataCentreOut)
        return EntryVerdict::DropDataCentreOut;
    auto parsed = parseIpPacket(packet, size);
    const IpPacket* view = std::get_if<IpPacket>(&parsed);
    if (!view)
        return EntryVerdict::DropDamaged;
    Route route;
    if (!m_table->route(view->key, route))
        return EntryVerdict::DropUnknown;
    if (!route.owner)
        return EntryVerdict::DropNoOwner;
    forwarding.to = route.owner->tunnel;
    TunnelHeader& header = forwarding.header;
    header = TunnelHeader {};
    header.kind = TunnelKind::ToOwner;
    header.hops = 1;
    header.bucket = route.bucket;
    header.service = route.service;
    header.version = m_table->version();
    header.sender = m_self;
    header.dataCentre = m_dataCentre;
    return EntryVerdict::Forward;
}

} // namespace cicadaward::flow
