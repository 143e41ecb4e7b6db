// A control instance. It has three threads: consensus (ControlConsensusThread), network (ControlNetworkThread) and the
// administration API.
#pragma once

#include "control_decisions.h"
#include "control_network.h"
#include "net/http_server.h"

#include <absl/container/flat_hash_map.h>

namespace cicadaward {

class ControlDaemon {
public:
    ControlDaemon(DaemonBase&, const Settings&);
    ~ControlDaemon();

    absl::Status start();
    void stop();

private:
    void handleAdmin(const HttpRequest&, const HttpReplyCallback&);
    void answerAdmin(const AdminAnswer&);
    bool isAuthorized(const HttpRequest&) const;

    DaemonBase& m_base;
    std::string m_token;
    absl::Status m_status;
    EventLoopThread m_adminLoop;
    WakingRing<AdminAnswer> m_adminAnswers;
    std::unique_ptr<ControlNetworkThread> m_network;
    std::unique_ptr<ControlConsensusThread> m_consensus;
    std::unique_ptr<HttpServer> m_adminServer;
    absl::flat_hash_map<uint64_t, HttpReplyCallback> m_adminCalls;
    uint64_t m_lastCall = 0;
};

} // namespace cicadaward
