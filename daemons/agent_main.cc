// cicadaward-agent: see agent_daemon.h.

#include "agent_daemon.h"
#include "daemon_main.h"

int main(int argc, char** argv)
{
    using namespace cicadaward;
    const ProgramInfo info { "cicadaward-agent", CICADAWARD_VERSION,
        "Owns buckets, hands packets and requests to the target beside it, and limits what the target gets.",
        { "cicadaward-agent --config agent.ini", "cicadaward-agent --config agent.ini --check" }, &agentSettings() };
    return runDaemon<AgentDaemon>(info, argc, argv);
}
