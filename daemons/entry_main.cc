// cicadaward-entry: see entry_daemon.h.

#include "daemon_main.h"
#include "entry_daemon.h"

int main(int argc, char** argv)
{
    using namespace cicadaward;
    const ProgramInfo info { "cicadaward-entry", CICADAWARD_VERSION,
        "Forwards packets from the fabric to bucket owners.",
        { "cicadaward-entry --config entry.ini", "cicadaward-entry --config entry.ini --check" }, &entrySettings() };
    return runDaemon<EntryDaemon>(info, argc, argv);
}
