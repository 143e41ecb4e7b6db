#include "settings/command_line.h"

#include <boost/program_options.hpp>
#include <ostream>

namespace cicadaward {
namespace {

    namespace options = boost::program_options;

    options::options_description describeOptions()
    {
        options::options_description description("Options");
        description.add_options()("help", "show this text and exit")("version", "show the version and exit")("config",
            options::value<std::string>()->value_name("FILE"),
            "read the settings from FILE")("check", "check the settings and exit");
        return description;
    }

    void printHelp(const ProgramInfo& info, const options::options_description& description, std::ostream& out)
    {
        out << info.name << ": " << info.summary << "\n\nUsage: " << info.name << " --config FILE [--check]\n\n"
            << description << "\nExamples:\n";
        for (const std::string& example : info.examples)
            out << "  " << example << "\n";
        out << "\nExit codes:\n  0  ok\n  1  failure while running\n  2  bad command line or settings\n\nSettings:\n";
        for (const Setting& setting : info.settings->settings) {
            out << "  " << setting.key << ": " << setting.description;
            if (!setting.defaultValue)
                out << " (required)";
            else if (*setting.defaultValue)
                out << " (default " << setting.defaultValue << ")";
            out << "\n";
        }
    }

} // namespace

std::variant<ExitCode, Settings> parseCommandLine(
    const ProgramInfo& info, int argc, const char* const* argv, std::ostream& out, std::ostream& err)
{
    const options::options_description description = describeOptions();
    options::variables_map arguments;
    try {
        const int exact = options::command_line_style::default_style & ~options::command_line_style::allow_guessing;
        // An empty positional description makes any argument without an option an error.
        options::store(options::command_line_parser(argc, argv)
                           .options(description)
                           .positional(options::positional_options_description())
                           .style(exact)
                           .run(),
            arguments);
    } catch (const options::error& error) {
        err << info.name << ": " << error.what() << "; see --help\n";
        return ExitCode::Usage;
    }
    if (arguments.count("help") > 0) {
        printHelp(info, description, out);
        return ExitCode::Ok;
    }
    if (arguments.count("version") > 0) {
        out << info.name << " " << info.version << "\n";
        return ExitCode::Ok;
    }
    if (arguments.count("config") == 0) {
        err << info.name << ": --config FILE is needed; see --help\n";
        return ExitCode::Usage;
    }
    Findings findings;
    const std::string path = arguments["config"].as<std::string>();
    Settings settings = loadSettings(path, *info.settings, findings);
    if (!findings.empty()) {
        err << findings.report();
        return ExitCode::Usage;
    }
    if (arguments.count("check") > 0) {
        out << path << ": settings are valid\n";
        return ExitCode::Ok;
    }
    return settings;
}

} // namespace cicadaward
