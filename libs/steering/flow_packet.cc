#include "steering/flow_packet.h"

#include "core/hash.h"

namespace cicadaward::steering {

uint64_t FlowId::hash() const
{
    uint64_t addresses = (uint64_t(caller.address) << 32) | service.address;
    uint64_t ports = (uint64_t(caller.port) << 16) | service.port;
    return mixHash(addresses, ports);
}

} // namespace cicadaward::steering
