// Settings of the daemons on a fabric that hands over flows in datagrams.
#include "settings/daemon_settings.h"

#include "settings/setting_limits.h"

namespace cicadaward {
namespace {

    using detail::maxMs;
    using detail::maxNameBytes;
    using detail::maxPathBytes;

    const std::vector<Setting> commonSettings {
        { "instance.name", SettingType::Name, "", nullptr, 1, maxNameBytes, "name of this instance in logs" },
        { "instance.data-centre", SettingType::Name, "", nullptr, 1, maxNameBytes, "data centre of this instance" },
        { "control.seeds", SettingType::EndpointList, "", nullptr, 1, detail::maxControlPeers,
            "administration endpoints of control instances to start from; others are learned" },
        { "control.peer-port", SettingType::Number, "", nullptr, 1, 65535,
            "UDP port of all control instances for messages between daemons" },
        { "log.file", SettingType::Path, "", "", 1, maxPathBytes, "file for events; standard output when not set" },
        { "log.decisions-per-second", SettingType::Number, "lines", "20", 0, 10000,
            "routine flow decisions that are logged, and as many that callers may notice; the counters have all" },
        { "metrics.listen", SettingType::Endpoint, "", "", 0, 0, "HTTP endpoint of the metrics; off when not set" },
    };

    SettingTable makeTable(const std::vector<Setting>& own, const std::vector<SettingOrder>& orders = {})
    {
        SettingTable table { commonSettings, orders };
        table.settings.insert(table.settings.end(), own.begin(), own.end());
        return table;
    }

    const Setting pollInterval { "control.poll-interval-ms", SettingType::Milliseconds, "ms", "400", 50, 10000,
        "shortest time between two polls of control instances; it grows with the number of processes that poll" };

} // namespace

const SettingTable& flowEntrySettings()
{
    static const SettingTable table = makeTable({
        { "listen.fabric", SettingType::Endpoint, "", nullptr, 0, 0,
            "UDP endpoint for packets of callers; its port is also the callers' port" },
        { "listen.peers", SettingType::Endpoint, "", nullptr, 0, 0, "UDP endpoint for agents and control instances" },
        { "listen.ready", SettingType::Endpoint, "", nullptr, 0, 0, "HTTP endpoint of the readiness check" },
        pollInterval,
        { "limits.cached-flows", SettingType::Number, "flows", "65536", 16, 1 << 24,
            "flows whose agent is remembered" },
        { "limits.link-mbps", SettingType::Decimal, "Mbit/s", "0", 0, 1000000,
            "bandwidth of the machine's link; 0: unknown, bulk transfers are not limited" },
        { "stop.drain-ms", SettingType::Milliseconds, "ms", "2500", 0, maxMs,
            "time from the end of readiness to the exit" },
        { "stop.limit-s", SettingType::Decimal, "s", "", 0, 3600,
            "time after which a stopping process is killed; the exit comes half a second earlier at the latest" },
    });
    return table;
}

const SettingTable& flowAgentSettings()
{
    static const SettingTable table = makeTable(
        {
            { "listen.fabric", SettingType::Endpoint, "", nullptr, 0, 0,
                "UDP endpoint for entries, agents and control instances; its port is also the callers' port" },
            { "listen.target", SettingType::Endpoint, "", nullptr, 0, 0, "UDP endpoint for packets of the target" },
            { "listen.heartbeats", SettingType::Endpoint, "", nullptr, 0, 0,
                "HTTP endpoint for the target's heartbeats" },
            { "target.packets", SettingType::Endpoint, "", nullptr, 0, 0, "UDP endpoint of the target" },
            { "target.heartbeat-ms", SettingType::Milliseconds, "ms", "1200", 10, maxMs,
                "time between two heartbeats; after four without one the target counts as gone" },
            { "target.reuse-s", SettingType::Decimal, "s", "2", 0, 3600,
                "shortest time until the address of a target that has ended may go to another service's target" },
            pollInterval,
            { "limits.max-flows", SettingType::Number, "flows", "16384", 16, 1 << 24, "most flows held" },
            { "flows.record-interval-ms", SettingType::Milliseconds, "ms", "0", 0, 60000,
                "time between two reports of open flows to control instances, which let them be reset when the target "
                "has ended; 0: none" },
            { "flows.record-always", SettingType::Flag, "", "false", 0, 0,
                "true: open flows are always reported; false: only while flows carry several requests that must not be "
                "repeated" },
            { "warm-up.factor", SettingType::Decimal, "", "1", 0, 1000,
                "multiple of the configured warm-up rate that a cold target gets" },
            { "warm-up.slack", SettingType::Decimal, "flows", "0", 0, 1 << 20,
                "new flows a second that a cold target gets beyond it" },
            { "placement.by", SettingType::Choice, "", "auto", 0, 0,
                "load by which a new flow goes to one of two targets: number of requests, or the time that they are "
                "expected to take (work); auto: work while a route has bulk requests, else requests",
                "requests, work, auto" },
            { "outlier.detection", SettingType::Flag, "", "true", 0, 0,
                "true: a target that fails requests takes no new flows for a pause; false: its heartbeats alone "
                "decide" },
            { "outlier.min-pause-ms", SettingType::Milliseconds, "ms", "500", 10, maxMs,
                "first pause of a target that fails; doubles with each failure after a pause" },
            { "outlier.max-pause-ms", SettingType::Milliseconds, "ms", "2000", 10, maxMs,
                "longest pause of a target that fails" },
        },
        { { "outlier.min-pause-ms", "outlier.max-pause-ms" } });
    return table;
}

const SettingTable& flowControlSettings()
{
    static const SettingTable table = makeTable({
        { "listen.peers", SettingType::Endpoint, "", nullptr, 0, 0,
            "UDP endpoint for all daemons; its port must be control.peer-port" },
        { "listen.operators", SettingType::Endpoint, "", nullptr, 0, 0, "HTTP endpoint of the administration API" },
        { "control.bootstrap", SettingType::Flag, "", "false", 0, 0,
            "true at the first start of the whole system: the seeds form the group" },
        { "control.tolerated-losses", SettingType::Number, "instances", "1", 0, 8,
            "disks that may be lost at the same moment; the group keeps at least twice as many voters and one more" },
        { "data.folder", SettingType::Path, "", "", 1, maxPathBytes,
            "folder of the log and snapshots; without it the instance keeps nothing and sends operators to the "
            "leader" },
        { "raft.election-timeout-ms", SettingType::Milliseconds, "ms", "400", 10, maxMs,
            "shortest time without a leader's message before an election" },
        { "stop.limit-ms", SettingType::Milliseconds, "ms", "2500", 0, maxMs,
            "longest time that a planned stop takes" },
    });
    return table;
}

} // namespace cicadaward
