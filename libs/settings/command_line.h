// Command line of the daemons: --help, --version, --config FILE, --check.
//
//     const ProgramInfo info { "cicadaward-entry", CICADAWARD_VERSION, "Forwards packets to bucket owners.",
//         { "cicadaward-entry --config entry.ini" }, &entrySettings() };
//     const auto result = parseCommandLine(info, argc, argv, std::cout, std::cerr);
//     if (const ExitCode* code = std::get_if<ExitCode>(&result))
//         return static_cast<int>(*code);
//     run(std::get<Settings>(result));
#pragma once

#include "settings/settings.h"

#include <iosfwd>
#include <variant>

namespace cicadaward {

enum class ExitCode {
    Ok = 0,
    Failed = 1, // a failure while running
    Usage = 2, // bad command line or settings
};

struct ProgramInfo {
    std::string name;
    std::string version;
    std::string summary; // one sentence
    std::vector<std::string> examples; // command lines
    const SettingTable* settings;
};

// Returns the settings when the program should run, else the code to exit with. Help, the version and the verdict of
// --check go to `out`; every finding goes to `err`.
std::variant<ExitCode, Settings> parseCommandLine(
    const ProgramInfo& info, int argc, const char* const* argv, std::ostream& out, std::ostream& err);

} // namespace cicadaward
