// The main function of a daemon: parses the command line and the settings, starts the daemon, waits for the shutdown.
#pragma once

#include "daemon.h"
#include "settings/command_line.h"
#include "settings/daemon_settings.h"

#include <iostream>

namespace cicadaward {

// `Daemon` must have a constructor (DaemonBase&, const Settings&), absl::Status start() and void stop(). Returns the
// exit code of the process.
template <typename Daemon> int runDaemon(const ProgramInfo& info, int argc, char** argv)
{
    auto parsed = parseCommandLine(info, argc, argv, std::cout, std::cerr);
    if (const ExitCode* code = std::get_if<ExitCode>(&parsed))
        return static_cast<int>(*code);
    const Settings& settings = std::get<Settings>(parsed);
    auto base = DaemonBase::create(settings);
    if (!base)
        return static_cast<int>(ExitCode::Usage);
    Daemon daemon(*base, settings);
    absl::Status status = daemon.start();
    if (!status.ok()) {
        std::cerr << status << "\n";
        base->log->write(EventId::ListenFailed, { { "reason", std::string(status.message()) } });
        return static_cast<int>(ExitCode::Failed);
    }
    SignalWaiter waiter;
    waiter.run([&] {
        base->log->write(EventId::Stopping, {});
        daemon.stop();
        waiter.done();
    });
    base->log->write(EventId::Stopped, {});
    return static_cast<int>(base->failed ? ExitCode::Failed : ExitCode::Ok);
}

} // namespace cicadaward
