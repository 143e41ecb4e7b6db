// Simulates several control instances with their network and disks, driven by a seed. Messages are delayed, lost and
// blocked by partitions; processes crash, freeze, lose power or their disk, and are replaced. Used by schedule tests.
#pragma once

#include "cluster/control_core.h"
#include "store/memory_file_system.h"
#include "store/store.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadaward::cluster {

class GroupSimulation {
public:
    // Small disks and all sizes are a thousandth of those in use, so that the log takes up to two thirds of a disk.
    GroupSimulation(uint64_t seed, size_t instances, size_t toleratedLosses = 1, bool hasSmallDisks = false);
    ~GroupSimulation();

    // Runs random faults and requests for `faultDuration`, then repairs all faults and runs for `recoveryDuration`.
    void run(Duration faultDuration, Duration recoveryDuration);
    // The disks of all instances are full, refuse, stall or are slow for a few seconds, one after another and never two
    // at once, while changes go on. Within `ackBound` after the last fault a change and a read must be answered.
    void runDiskFaults(Duration ackBound);
    // Instances freeze for seconds, alone and several at once, so that they are removed and added again. At one of
    // these membership changes, as many disks are lost as the group tolerates. After each round the group must recover.
    void runReplacements();
    // The first failed check; empty when all checks passed.
    const std::string& violation() const { return m_violation; }
    uint64_t acknowledgedOrders() const { return m_acknowledged; }
    uint64_t answeredReads() const { return m_reads; }
    uint64_t lostDisks() const { return m_lostDisks; }
    uint64_t diskFaults() const { return m_diskFaults; }
    uint64_t membershipChanges() const { return m_membershipChanges; }
    uint64_t confirmedMembers() const { return m_confirmedMembers; }

private:
    class Instance;
    struct Message {
        Time due;
        size_t to;
        Endpoint from;
        Envelope envelope;
    };
    struct PendingRequest {
        size_t instance = 0; // that was asked
        uint64_t version = 0; // of a configuration
        std::string text;
        std::optional<bool> isEvacuated; // requested by an evacuation
        uint64_t minVersion = 0; // read: newest version acknowledged before it was sent
    };

    // A member whose target restarts and departs at random.
    struct SimulatedMember {
        steering::MemberRecord record;
        bool registered = false; // an instance has reported the registration of this start
    };

    void step(bool withFaults);
    void runFor(Duration);
    void injectFault();
    void beginDiskFault(Instance&, Time end);
    void refuseRequests(size_t index);
    void submitRequest();
    void announce(bool mayChange);
    void onPollReply(SimulatedMember& polled, const Envelope&);
    void deliver();
    void checkLeaders();
    void checkEnd();
    void fail(const std::string& what);
    void send(size_t from, Endpoint to, const Envelope&);
    void onAnswer(RequestNumber, const Answer&);
    bool isCut(size_t a, size_t b) const;
    void repair();
    void loseDisk(size_t index);
    void replaceAndLoseDisks();
    std::vector<size_t> loseToleratedDisks();
    std::vector<size_t> shuffledInstances();
    void awaitRecovery();
    bool isHealthy() const;
    Endpoint endpointOf(size_t index) const;
    std::optional<size_t> indexOf(Endpoint) const;

    const size_t m_toleratedLosses;
    Random m_random;
    ManualClock m_clock;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::vector<bool> m_partitionSide; // of the partition
    bool m_partitioned = false;
    double m_loss = 0;
    std::vector<Message> m_network;
    std::map<RequestNumber, PendingRequest> m_pendingRequests;
    RequestNumber m_lastRequest = 0;
    std::map<uint64_t, uint64_t> m_leaders; // term -> instance
    uint64_t m_lastVersion = 0;
    uint64_t m_acknowledgedVersion = 0;
    std::map<uint64_t, std::string> m_texts; // content returned by reads, by version
    std::optional<bool> m_expectedEvacuated; // of the last acknowledged request; nothing while the outcome is unknown
    bool m_isEvacuationPending = false;
    uint64_t m_acknowledged = 0;
    uint64_t m_reads = 0;
    std::vector<SimulatedMember> m_members;
    // By number of the poll: the members that were registered when it was sent.
    std::map<uint64_t, std::vector<steering::MemberRecord>> m_confirmations;
    uint64_t m_lastConfirmation = 0;
    uint64_t m_confirmedMembers = 0;
    uint64_t m_lostDisks = 0;
    uint64_t m_diskFaults = 0;
    uint64_t m_membershipChanges = 0;
    bool m_hasLargeChanges = false;
    bool m_isRecoveringDisk = false;
    bool m_submitsRequests = true;
    std::string m_violation;
};

} // namespace cicadaward::cluster
