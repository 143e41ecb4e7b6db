// A control instance without a disk as a deterministic state machine without I/O. It stores nothing and has no vote. It
// directs operators to the leader, sends pollers the control instances that it knows, and forwards the hellos of
// instances that want to join, because their seeds may be relays only.
//
//     Relay relay(options, clock, random, output);
//     relay.onTick();
//     relay.onMessage(sender, envelope);
//     if (std::optional<Endpoint> leader = relay.leader())
//         redirect(*leader);
#pragma once

#include "cluster/poller.h"

#include <map>
#include <optional>
#include <vector>

namespace cicadaward::cluster {

class RelayOutput {
public:
    virtual ~RelayOutput() = default;
    virtual void sendMessage(Endpoint to, const Envelope&) = 0;
    virtual void contactChanged(bool inContact) = 0;
};

class Relay final : private PollerOutput {
public:
    Relay(PollerOptions, const Clock&, Random&, RelayOutput&);

    void onTick() { m_poller.onTick(); }
    void onMessage(Endpoint sender, const Envelope&);

    // Administration API of the leader; nothing when no reply has named one lately.
    std::optional<Endpoint> leader() const;
    // Control instances that sent hellos or are named in replies.
    std::vector<Endpoint> controls() const;

private:
    void sendMessage(Endpoint control, const Envelope& envelope) override { m_output.sendMessage(control, envelope); }
    void onLeader(Endpoint operators, uint64_t term) override;
    void contactLost() override { m_output.contactChanged(false); }
    void contactRenewed() override { m_output.contactChanged(true); }
    void onHello(Endpoint sender, Hello);

    const Clock& m_clock;
    RelayOutput& m_output;
    Poller m_poller;
    std::map<InstanceId, InstanceAddress> m_helloSenders; // bounded by maxHelloSenders
    Endpoint m_leader; // port 0: unknown
    uint64_t m_term = 0;
    Time m_leaderReported;
};

} // namespace cicadaward::cluster
