// Messages between the threads of a control instance, each carried by a bounded ring.
#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <variant>

namespace cicadaward {

// From the network to the decisions.
struct CallReceived { // a request on a stream; the payload is authentic
    uint64_t call = 0;
    std::string path;
    MemberId sender;
    std::string payload;
};
struct PeerReplied { // to a PostToPeer
    uint32_t peer = 0; // index in control.peers
    std::string path;
    std::string payload;
};
// From the administration API to the decisions.
struct AdminCall {
    uint64_t call = 0;
    std::string method;
    std::string path;
    std::string body;
    std::string who;
};
using ConsensusInput = std::variant<CallReceived, PeerReplied, AdminCall>;

// From the decisions to the network.
struct ReplyToCall {
    uint64_t call = 0;
    std::string payload;
};
struct PostToPeer {
    uint32_t peer = 0;
    std::string path;
    std::string payload;
};
using NetworkInput = std::variant<ReplyToCall, PostToPeer>;

// From the decisions to the administration API.
struct AdminAnswer {
    uint64_t call = 0;
    unsigned status = 200;
    std::string body; // JSON
};

} // namespace cicadaward
