#include "settings/daemon_settings.h"

#include "settings/setting_limits.h"

namespace cicadaward {
namespace {

    using detail::maxControlPeers;
    using detail::maxMs;
    using detail::maxNameBytes;
    using detail::maxPathBytes;

    const std::vector<Setting> instanceSettings {
        { "instance.name", SettingType::Name, "", nullptr, 1, maxNameBytes,
            "name of this process, unique in the system; the member id is its hash" },
        { "instance.data-centre", SettingType::Name, "", nullptr, 1, maxNameBytes,
            "data centre of this instance, as named in the manifest" },
        { "instance.id-key-file", SettingType::Path, "", nullptr, 1, maxPathBytes,
            "file with the pre-shared keys, lines \"id hex32\", not readable by others" },
    };

    const std::vector<Setting> memberSettings {
        { "control.peers", SettingType::EndpointList, "", nullptr, 1, maxControlPeers, "control instances (TCP)" },
        { "control.announce-interval-ms", SettingType::Milliseconds, "ms", "1000", 10, maxMs,
            "time between two announcements" },
        { "control.lease-ms", SettingType::Milliseconds, "ms", "3000", 30, maxMs,
            "without an answer backed by a quorum for this long, no new work is placed or admitted" },
        { "control.isolation-ms", SettingType::Milliseconds, "ms", "5000", 50, maxMs,
            "with no word from another data centre for this long either, forwarding stops" },
    };

    const Setting adminListen { "admin.listen", SettingType::Endpoint, "", "", 0, 0,
        "HTTP endpoint for metrics and administration; off when not set" };
    const Setting logFile { "log.file", SettingType::Path, "", "", 1, maxPathBytes,
        "file for events; standard output when not set" };

    SettingTable makeMemberTable(const std::vector<Setting>& own)
    {
        SettingTable table;
        for (const std::vector<Setting>* part : { &instanceSettings, &memberSettings, &own })
            table.settings.insert(table.settings.end(), part->begin(), part->end());
        table.settings.push_back(adminListen);
        table.settings.push_back(logFile);
        table.orders = {
            { "control.announce-interval-ms", "control.lease-ms" },
            { "control.lease-ms", "control.isolation-ms" },
        };
        return table;
    }

} // namespace

const SettingTable& entrySettings()
{
    static const SettingTable table = makeMemberTable({
        { "listen.fabric", SettingType::Endpoint, "", nullptr, 0, 0, "UDP endpoint for packets from the fabric" },
        { "listen.tunnel", SettingType::Endpoint, "", nullptr, 0, 0, "UDP endpoint of this entry in the tunnel" },
    });
    return table;
}

const SettingTable& agentSettings()
{
    static const SettingTable table = makeMemberTable({
        { "service.name", SettingType::Name, "", nullptr, 1, maxNameBytes, "service of the target" },
        { "listen.tunnel", SettingType::Endpoint, "", nullptr, 0, 0, "UDP endpoint of this agent in the tunnel" },
        { "listen.target", SettingType::Endpoint, "", nullptr, 0, 0, "UDP endpoint for packets from the target" },
        { "fabric.return", SettingType::Endpoint, "", nullptr, 0, 0, "UDP endpoint that takes packets to callers" },
        { "target.packets", SettingType::Endpoint, "", nullptr, 0, 0,
            "UDP endpoint where the target takes IP packets" },
        { "target.http", SettingType::Endpoint, "", nullptr, 0, 0, "TCP endpoint of the target's HTTP server" },
        { "target.health-interval-ms", SettingType::Milliseconds, "ms", "500", 10, maxMs,
            "time between two looks at the target's health" },
        { "limits.max-flows", SettingType::Number, "flows", "65536", 1, 1 << 24, "most open flows held" },
        { "limits.max-requests", SettingType::Number, "requests", "1024", 1, 1 << 20,
            "most requests open at the same time" },
        { "stop.limit-ms", SettingType::Milliseconds, "ms", "30000", 0, maxMs,
            "longest time that a planned stop takes" },
    });
    return table;
}

const SettingTable& controlSettings()
{
    static const SettingTable table = [] {
        SettingTable control { instanceSettings, { { "raft.election-timeout-ms", "control.lease-ms" } } };
        const std::vector<Setting> own {
            { "listen.peers", SettingType::Endpoint, "", nullptr, 0, 0, "TCP endpoint for streams" },
            { "control.peers", SettingType::NamedEndpointList, "", nullptr, 1, maxControlPeers,
                "all control instances, this one included" },
            { "control.lease-ms", SettingType::Milliseconds, "ms", "3000", 30, maxMs,
                "a member that is silent for this long is removed" },
            { "control.bootstrap", SettingType::Flag, "", "false", 0, 0,
                "true for the instances of the first start; others join as learners" },
            { "raft.election-timeout-ms", SettingType::Milliseconds, "ms", "1000", 10, maxMs,
                "shortest time without a leader's message before an election" },
            { "data.folder", SettingType::Path, "", nullptr, 1, maxPathBytes, "folder of the log and snapshots" },
            { "admin.token-file", SettingType::Path, "", "", 1, maxPathBytes,
                "file with the token that changes through the administration API need" },
        };
        control.settings.insert(control.settings.end(), own.begin(), own.end());
        control.settings.push_back(adminListen);
        control.settings.push_back(logFile);
        return control;
    }();
    return table;
}

} // namespace cicadaward
