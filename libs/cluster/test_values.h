// Endpoints and records that the tests of this library share.
#pragma once

#include "steering/members.h"

namespace cicadaward::cluster {

const Endpoint peerA { 0x0A010001, 7720 };
const Endpoint peerB { 0x0A010002, 7720 };

inline steering::MemberRecord memberNumber(uint32_t number)
{
    steering::MemberRecord record;
    record.agent = { 0x0A020000 + number, 8172 };
    record.state = steering::TargetState::Ready;
    record.incarnation = 10;
    record.sequence = 1;
    return record;
}

} // namespace cicadaward::cluster
