// Messages between the threads of a control instance, each carried by a bounded ring.
#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <variant>

namespace cicadaward {

// From the network thread to the consensus thread.
struct CallReceived { // a request on a stream; the payload is authentic
    uint64_t call = 0;
    std::string path;
    MemberId sender;
    std::string payload;
};
struct PeerReplied { // the reply to a PostToPeer
    uint32_t peer = 0; // index in control.peers
    std::string path;
    std::string payload;
};
// From the administration API to the consensus thread.
struct AdminCall {
    uint64_t call = 0;
    std::string method;
    std::string path;
    std::string body;
    std::string who;
};
using ConsensusInput = std::variant<CallReceived, PeerReplied, AdminCall>;

// From the consensus thread to the network thread.
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

// From the consensus thread to the administration API.
struct AdminAnswer {
    uint64_t call = 0;
    unsigned status = 200;
    std::string body; // JSON
};

} // namespace cicadaward
