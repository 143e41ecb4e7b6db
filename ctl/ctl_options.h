// Parses the command line and the settings file of cicadawardctl. An option on the command line overrides the same
// setting in the file.
//
//     auto parsed = parseCtlOptions(argc, argv, std::cout, std::cerr);
//     if (const CtlExit* code = std::get_if<CtlExit>(&parsed))
//         return static_cast<int>(*code);
#pragma once

#include "core/clock.h"
#include "directory/directory.h"

#include <iosfwd>
#include <string>
#include <variant>
#include <vector>

namespace cicadaward {

enum class CtlExit {
    Done = 0,
    Refused = 1, // refused, or not decided
    Usage = 2, // bad command line, settings file, token file or manifest file
    NotEverywhere = 3, // decided, but --wait ended before all live processes had applied the change
};

struct CtlOptions {
    std::vector<Endpoint> instances; // administration endpoints, tried in this order
    std::string token;
    std::string who; // operator's name, for the history
    Duration timeout {}; // for the whole command, waiting included
    bool json = false;
    bool wait = false;
    uint64_t replaces = 0; // 0: any version
    uint64_t limit = 0; // largest number of entries in a list
    std::string command;
    std::vector<std::string> arguments;
};

// Help and version go to `out`, findings to `err`.
std::variant<CtlExit, CtlOptions> parseCtlOptions(
    int argc, const char* const* argv, std::ostream& out, std::ostream& err);

} // namespace cicadaward
