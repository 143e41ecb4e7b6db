// The manifest: the document of the build pipeline that says which services and data centres exist.
//
//     Findings findings;
//     std::optional<Manifest> manifest = parseManifest("manifest.json", text, findings);
//     if (!manifest)
//         return findings.status(); // every finding with its JSON path
//
// Format (docs/MANIFEST.md):
//
//     { "version": 2, "replaces": 1,
//       "dataCentres": [ { "name": "hal-a", "out": false } ],
//       "services": [ { "name": "sequencer", "address": "10.100.0.1",
//                       "ports": [ { "port": 7000, "protocol": "tcp", "mode": "flow" },
//                                  { "port": 8080, "protocol": "tcp", "mode": "request" } ],
//                       "buckets": 1024, "slotsPerTarget": 5, "flowsPerTarget": 2000, "coldShare": 0.1,
//                       "coldSeconds": 30 } ] }
#pragma once

#include "core/findings.h"
#include "packet/flow_key.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadaward {

enum class PortMode : uint8_t {
    Flow = 0, // packets are forwarded to the target unchanged
    Request = 1, // the agent terminates the connection and sends HTTP requests to its target
};

struct PortSpec {
    uint16_t port = 0;
    Protocol protocol = Protocol::Tcp;
    PortMode mode = PortMode::Flow;
};

struct ServiceSpec {
    std::string name;
    uint32_t address = 0; // IPv4, host byte order
    std::vector<PortSpec> ports;
    uint32_t buckets = 1024; // power of two, 64 to 65,536
    uint32_t slotsPerTarget = 1; // requests that a warm target runs at the same time
    uint32_t flowsPerTarget = 2000; // maximum number of open flows of a warm target
    double coldShare = 0.1; // fraction of the limits above that applies to a cold target, in (0, 1]
    uint32_t coldSeconds = 0; // minimum time that a target stays cold after a start; afterwards its answers decide
};

struct DataCentreSpec {
    std::string name;
    bool out = false;
};

struct Manifest {
    uint64_t version = 0;
    uint64_t replaces = 0;
    std::vector<DataCentreSpec> dataCentres;
    std::vector<ServiceSpec> services;
};

// Limits on the document; a document that exceeds one is rejected with a finding.
constexpr size_t maxManifestSize = 1 << 20; // bytes
constexpr size_t maxServices = 4096;
constexpr size_t maxDataCentres = 256;
constexpr size_t maxPortsPerService = 16;

// `source` names the document in the findings. Returns nothing when there is any finding.
std::optional<Manifest> parseManifest(const std::string& source, const std::string& text, Findings& findings);

// Canonical text: equal manifests give equal text, whatever the spacing and key order of the original.
std::string formatManifest(const Manifest& manifest);

// Dotted notation. Returns false and leaves `address` unchanged on bad input.
bool parseAddress(const std::string& text, uint32_t& address);
std::string formatAddress(uint32_t address);

} // namespace cicadaward
