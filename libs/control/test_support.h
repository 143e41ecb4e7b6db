// Sample manifests, records and damaged bytes for the tests and the measurement program of this library.
#pragma once

#include "control/messages.h"
#include "core/random.h"

namespace cicadaward::control::test {

inline Manifest sampleManifest(uint64_t version, uint64_t replaces)
{
    Manifest manifest;
    manifest.version = version;
    manifest.replaces = replaces;
    manifest.dataCentres = { { "hal-a", false }, { "hal-b", false }, { "lager", false } };
    ServiceSpec service;
    service.name = "sequencer";
    service.address = 0x0a640001;
    service.ports = { { 7000, Protocol::Tcp, PortMode::Flow } };
    manifest.services.push_back(service);
    service.name = "artwork";
    service.address = 0x0a640002;
    manifest.services.push_back(service);
    return manifest;
}

inline ManifestCommand manifestCommand(const Manifest& manifest, const std::string& who)
{
    ManifestCommand command;
    command.who = who;
    command.manifest = formatManifest(manifest);
    return command;
}

inline ManifestCommand dataCentreCommand(const std::string& name, bool out, uint64_t replaces)
{
    ManifestCommand command;
    command.who = "operator";
    command.dataCentre = name;
    command.out = out;
    command.replaces = replaces;
    return command;
}

inline MemberRecord agentRecord(const std::string& name, uint64_t process, MemberState state = MemberState::Warm)
{
    MemberRecord record;
    record.name = name;
    record.state = state;
    record.service = "sequencer";
    record.dataCentre = "hal-a";
    record.tunnel = { 0x7f000001, 9000 };
    record.capacity = 2000;
    record.process = Incarnation(process);
    record.target = Incarnation(1);
    return record;
}

// Changes up to three bytes, or cuts the end off.
inline std::string corrupt(std::string bytes, Random& random)
{
    for (uint64_t i = random.below(4); i > 0; --i)
        bytes[random.below(bytes.size())] = static_cast<char>(random.next());
    if (random.below(4) == 0)
        bytes.resize(random.below(bytes.size()));
    return bytes;
}

} // namespace cicadaward::control::test
