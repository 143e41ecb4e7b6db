// cicadaward-control: see control_daemon.h.

#include "control_daemon.h"
#include "daemon_main.h"

int main(int argc, char** argv)
{
    using namespace cicadaward;
    const ProgramInfo info { "cicadaward-control", CICADAWARD_VERSION,
        "Keeps the replicated log of manifests and the directory of members.",
        { "cicadaward-control --config control.ini", "cicadaward-control --config control.ini --check" },
        &controlSettings() };
    return runDaemon<ControlDaemon>(info, argc, argv);
}
