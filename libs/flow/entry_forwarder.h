// The entry's decision for one IP packet: which agent gets it, behind which header. Pure and stateless apart from the
// routing table, which is replaced as a whole.
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
    DropNoOwner, // no member of the service takes flows
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

    // Builds the tables of all services. Directories that are not newer change nothing.
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
