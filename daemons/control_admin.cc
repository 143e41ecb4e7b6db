#include "control_admin.h"

#include <boost/algorithm/string.hpp>
#include <nlohmann/json.hpp>

namespace cicadaward {

bool parseAdminChange(const AdminCall& call, control::ManifestCommand& command)
{
    command.who = call.who;
    if (call.path == "/v1/manifest") {
        command.manifest = call.body;
        return true;
    }
    std::vector<std::string> parts;
    boost::split(parts, call.path, boost::is_any_of("/"));
    if (parts.size() != 5 || parts[1] != "v1" || parts[2] != "data-centres" || parts[3].empty())
        return false;
    if (parts[4] != "out" && parts[4] != "in")
        return false;
    command.dataCentre = parts[3];
    command.out = parts[4] == "out";
    return true;
}

unsigned adminStatus(control::ManifestOutcome outcome)
{
    switch (outcome) {
    case control::ManifestOutcome::Accepted:
        return 200;
    case control::ManifestOutcome::Conflict:
    case control::ManifestOutcome::Older:
    case control::ManifestOutcome::WrongBase:
    case control::ManifestOutcome::AlreadyApplied:
        return 409;
    case control::ManifestOutcome::Invalid:
        return 422;
    case control::ManifestOutcome::NoLeader:
    case control::ManifestOutcome::Busy:
        return 503;
    case control::ManifestOutcome::Unknown:
        return 504;
    }
    return 500;
}

const char* outcomeName(control::ManifestOutcome outcome)
{
    static const char* const names[] = { "accepted", "conflict", "older", "wrong-base", "invalid", "already-applied",
        "no-leader", "unknown", "busy" };
    return names[static_cast<size_t>(outcome)];
}

std::string formatResult(const control::ManifestResult& result)
{
    nlohmann::json json { { "outcome", outcomeName(result.outcome) }, { "version", result.version },
        { "epoch", result.epoch.value() }, { "digest", result.digest }, { "who", result.who },
        { "repeated", result.repeated }, { "currentVersion", result.currentVersion }, { "findings", result.findings } };
    return json.dump();
}

std::string formatStatus(const std::string& name, const std::string& leader, const control::StatusReply& status,
    const raft::RaftStatus& raft)
{
    nlohmann::json instances = nlohmann::json::array();
    for (const raft::InstanceStatus& instance : raft.instances) {
        instances.push_back({ { "id", instance.id.value() }, { "voter", instance.voter }, { "active", instance.active },
            { "synced", instance.synced } });
    }
    nlohmann::json json { { "instance", name }, { "leader", leader }, { "isLeader", status.isLeader },
        { "term", raft.term.value() }, { "commit", raft.commit }, { "quorum", raft.canRead },
        { "repaired", raft.repaired }, { "instances", instances }, { "manifestVersion", status.manifestVersion },
        { "epoch", status.epoch.value() },
        { "directory", { { "term", status.directory.term.value() }, { "sequence", status.directory.sequence } } },
        { "members", status.members }, { "behindCount", status.behindCount }, { "behind", status.behind },
        { "findings", status.findings } };
    return json.dump();
}

std::string formatMembers(const Directory& directory)
{
    static const char* const states[] = { "warming", "warm", "draining", "target-down" };
    nlohmann::json list = nlohmann::json::array();
    for (const Member& member : directory.members) {
        const Service* service = directory.findService(member.service);
        const DataCentre* dataCentre = directory.findDataCentre(member.dataCentre);
        list.push_back({ { "name", member.name }, { "role", member.role == MemberRole::Entry ? "entry" : "agent" },
            { "state", states[static_cast<size_t>(member.state)] }, { "service", service ? service->spec.name : "" },
            { "dataCentre", dataCentre ? dataCentre->name : "" },
            { "tunnel", formatAddress(member.tunnel.address) + ":" + std::to_string(member.tunnel.port) },
            { "capacity", member.capacity }, { "process", member.process.value() },
            { "target", member.target.value() } });
    }
    return list.dump();
}

} // namespace cicadaward
