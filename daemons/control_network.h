// The network thread of a control instance: accepts streams from entries, agents and other instances, and connects to
// the other instances. It seals and authenticates messages, rejects replays, and passes payloads to the consensus
// thread.
//
// Paths: /announce and /watch (ControlClient), /instance (messages between ControlInstance state machines), /raft
// (Raft), /hello (name and instance id of a control instance).
#pragma once

#include "auth/replay_window.h"
#include "control_messages.h"
#include "daemon.h"
#include "net/waking_ring.h"
#include "stream/stream_client.h"
#include "stream/stream_server.h"

#include <absl/container/flat_hash_map.h>

namespace cicadaward {

class ControlNetworkThread {
public:
    // `toConsensus` is called on the network thread; false means that its ring is full.
    ControlNetworkThread(DaemonBase&, const Settings&, std::function<bool(ConsensusInput&&)> toConsensus);

    absl::Status start();
    void stop() { m_loop.stop(); }
    // Called from the consensus thread.
    bool push(NetworkInput&& input) { return m_input.push(std::move(input)); }

private:
    void handleRequest(const std::string& path, std::string body, const StreamReplyCallback& reply);
    void handleInput(const ReplyToCall&);
    void handleInput(const PostToPeer&);
    void reportMetrics();

    DaemonBase& m_base;
    MemberId m_self;
    std::function<bool(ConsensusInput&&)> m_toConsensus;
    EventLoopThread m_loop;
    Authenticator m_authenticator;
    MessageSequence m_sequence;
    ReplayGuard m_replays;
    std::unique_ptr<StreamServer> m_server;
    std::vector<std::unique_ptr<StreamClient>> m_peers; // by index in control.peers; null for this instance
    absl::flat_hash_map<uint64_t, StreamReplyCallback> m_calls;
    uint64_t m_lastCall = 0;
    WakingRing<NetworkInput> m_input;
};

} // namespace cicadaward
