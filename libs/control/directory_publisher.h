// Decides when the control leader publishes a new directory, and builds it from the manifest register and membership.
//
//     if (auto directory = publisher.publish(manifests, membership))
//         relay.advance(directory);
//
// Versions never decrease: the term is the leader's, the sequence increases, and nothing is published while any process
// is known to have seen a later term or manifest epoch than this leader has.
#pragma once

#include "control/membership.h"

#include <memory>

namespace cicadaward::control {

struct PublisherSettings {
    Duration minInterval = std::chrono::milliseconds(100); // minimum time between two versions
    Duration quorumTimeout = std::chrono::seconds(1); // the election timeout; a quorum older than this does not count
    Duration newLeaderDelay
        = std::chrono::seconds(3); // the longest lease; a new leader publishes nothing for this time
};

class DirectoryPublisher {
public:
    DirectoryPublisher(const Clock& clock, PublisherSettings settings)
        : m_clock(clock)
        , m_settings(settings)
    {
    }

    void leadershipGained(Term term);
    void leadershipLost() { m_term.reset(); }
    void recordQuorum(Time at);
    void recordSeenVersion(DirectoryVersion version, Epoch epoch);

    bool hasQuorum() const;
    std::optional<Time> quorumAt() const { return m_quorumAt; }

    // Null when there is nothing new or publishing is not allowed now. Agents whose service, and processes whose data
    // centre, the manifest does not name are left out, because an operator could not take them out later.
    std::shared_ptr<const Directory> publish(const ManifestRegister& manifests, const Membership& membership);

private:
    const Clock& m_clock;
    PublisherSettings m_settings;
    std::optional<Term> m_term; // set while leading
    Time m_leaderSince; // of leadership
    std::optional<Time> m_quorumAt;
    DirectoryVersion m_seen;
    Epoch m_seenEpoch;
    std::optional<Time> m_publishedAt;
    Epoch m_publishedEpoch;
    uint64_t m_publishedRevision = 0;
    uint64_t m_sequence = 0;
};

} // namespace cicadaward::control
