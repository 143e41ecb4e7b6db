// Chooses the agent to which an entry forwards an IP packet, and builds the tunnel header. The only state is the
// routing table, which each new directory replaces as a whole.
//
//     EntryForwarder forwarder(self, dataCentre);
//     forwarder.install(directory);
//     Forwarding forwarding;
//     if (forwarder.forward(packet, size, forwarding) == EntryVerdict::Forward)
//         send(forwarding.to, forwarding.header, packet, size);
//
// Cost: one hash, one look-up of the service and one array load for each packet; no allocation.
#pragma once

#include "directory/bucket_table.h"
#include "packet/tunnel.h"

#include <memory>

namespace cicadaward::flow {

enum class EntryVerdict : uint8_t {
    Forward,
    DropDamaged, // not an IP packet that can be forwarded
    DropUnknown, // no service has this address and port
    DropNoOwner, // the bucket has no owner, because no member of the service accepts new flows
    DropDataCentreOut, // this entry's data centre has been taken out, or there is no directory yet
};

struct Forwarding {
    Endpoint to;
    TunnelHeader header;
};

class EntryForwarder {
public:
    EntryForwarder(MemberId self, DataCentreId dataCentre)
        : m_self(self)
        , m_dataCentre(dataCentre)
    {
    }

    // Builds the routing table of all services. Does nothing if the directory is not newer than the installed one.
    void install(const Directory& directory);

    EntryVerdict forward(const uint8_t* packet, size_t size, Forwarding& forwarding) const;

    DirectoryVersion version() const { return m_table ? m_table->version() : DirectoryVersion {}; }

private:
    MemberId m_self;
    DataCentreId m_dataCentre;
    bool m_isDataCentreOut = true;
    std::unique_ptr<RoutingTable> m_table;
};

} // namespace cicadaward::flow
