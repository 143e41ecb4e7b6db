// State machine that the replicated log applies: the accepted manifest, and the ids of its services and data centres.
// Every instance applies the same commands in the same order, so every instance gives the same ids and answers.
//
//     ManifestRegister manifests;
//     ManifestResult result = manifests.apply(index, encodeMessage(command));
//     if (result.outcome == ManifestOutcome::Accepted)
//         publish(manifests.services(), manifests.dataCentres(), manifests.epoch());
//
// Acceptance is a compare-and-set: a manifest is accepted only when it replaces exactly the current version. A service
// keeps its id while its name, address and number of buckets stay; otherwise it is a new service, because flows
// of the old one must not reach targets of the new one. Memory: the manifest and 1,024 history entries.
#pragma once

#include "directory/codec.h"

#include <deque>

namespace cicadaward::control {

enum class ManifestOutcome : uint8_t {
    Accepted = 0,
    Conflict = 1, // other content has this version; version, digest and who identify it
    Older = 2, // the version is below the current one and no longer in the history
    WrongBase = 3, // `replaces` is not the current version
    Invalid = 4, // see findings
    AlreadyApplied = 5, // the log index was applied before; nothing happened
    NoLeader = 6, // not decided: no leader is known; the command may be sent again
    Unknown = 7, // not decided in time: it may still be accepted; sending it again gives the first answer
    Busy = 8, // not decided: too many requests are waiting
};

struct ManifestResult {
    ManifestOutcome outcome = ManifestOutcome::Unknown;
    uint64_t version = 0; // of the accepted manifest, or of the winner of a conflict
    Epoch epoch; // of that manifest
    std::string digest; // SHA-256 of its canonical text, hexadecimal
    std::string who; // who sent it
    bool repeated = false; // the same content was accepted before; this is the first answer again
    uint64_t currentVersion = 0;
    std::vector<std::string> findings; // at most 64

    MSGPACK_DEFINE_ARRAY(outcome, version, epoch, digest, who, repeated, currentVersion, findings)
};

// Either a manifest, or (when `dataCentre` is set) the change of one data centre.
struct ManifestCommand {
    uint64_t token = 0; // chosen by the instance that received the request, to find the waiting caller
    std::string who; // at most 128 bytes
    std::string manifest; // JSON
    std::string dataCentre; // name
    bool out = false;
    // Version that the data centre change replaces. 0 means "whatever is current": then a change to the state that the
    // data centre already has is answered with the current version and makes no new one.
    uint64_t replaces = 0;

    MSGPACK_DEFINE_ARRAY(token, who, manifest, dataCentre, out, replaces)
};

class ManifestRegister {
public:
    static constexpr size_t maxHistory = 1024;

    // Indices must ascend; an index that was applied before changes nothing.
    ManifestResult apply(uint64_t index, const std::string& command);

    std::string snapshot() const;
    // Returns false and changes nothing when the bytes are damaged.
    bool restore(const std::string& snapshot);

    uint64_t appliedIndex() const { return m_state.appliedIndex; }
    Epoch epoch() const { return m_state.epoch; }
    uint64_t version() const { return m_state.manifest.version; }
    const std::vector<Service>& services() const { return m_state.services; } // ascending ids
    const std::vector<DataCentre>& dataCentres() const { return m_state.dataCentres; } // ascending ids
    const Manifest& manifest() const { return m_state.manifest; }

    // What one entry of the history says about a version; null when it is not in the history.
    struct HistoryEntry {
        uint64_t version = 0;
        std::string digest;
        Epoch epoch;
        std::string who;
        std::string change; // of a data centre change: "out NAME" or "in NAME"

        MSGPACK_DEFINE_ARRAY(version, digest, epoch, who, change)
    };
    const HistoryEntry* findVersion(uint64_t version) const;

private:
    struct State {
        uint64_t appliedIndex = 0;
        Epoch epoch;
        Manifest manifest;
        std::vector<Service> services;
        std::vector<DataCentre> dataCentres;
        uint32_t lastServiceId = 0;
        uint16_t lastDataCentreId = 0;
        std::deque<HistoryEntry> history; // ascending versions
    };

    ManifestResult applyManifest(const ManifestCommand& command);
    ManifestResult applyDataCentre(const ManifestCommand& command);
    ManifestResult accept(Manifest manifest, const std::string& who, const std::string& change);
    ManifestResult answerFromHistory(uint64_t version, const HistoryEntry* entry, bool same) const;
    ManifestResult makeResult(ManifestOutcome outcome) const;
    ManifestResult makeInvalidResult(const std::string& finding) const;
    bool assignIds(const Manifest& manifest, State& next) const;

    State m_state;
};

std::string manifestDigest(const Manifest& manifest);

} // namespace cicadaward::control

MSGPACK_ADD_ENUM(cicadaward::control::ManifestOutcome)
