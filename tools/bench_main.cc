// cicadaward-bench: runs an experiment with real processes and prints its measures as one JSON line.

#include "experiment.h"

#include <boost/filesystem.hpp>
#include <boost/program_options.hpp>
#include <iostream>

using namespace cicadaward;

namespace {

// Names every goal that the measures miss.
std::vector<std::string> missedGoals(const std::vector<Goal>& goals, const nlohmann::json& measures)
{
    std::vector<std::string> missed;
    for (const Goal& goal : goals) {
        if (!measures.contains(goal.measure)) {
            missed.push_back(goal.measure + " was not measured");
            continue;
        }
        double value = measures[goal.measure].get<double>();
        if (goal.isMaximum ? value > goal.bound : value < goal.bound) {
            missed.push_back(goal.measure + " is " + std::to_string(value)
                + ", goal: " + (goal.isMaximum ? "at most " : "at least ") + std::to_string(goal.bound));
        }
    }
    return missed;
}

int runExperiment(const ExperimentPlan& plan, bool jsonOnly)
{
    boost::asio::io_context context;
    SystemClock clock;
    Experiment experiment(context, clock, plan, !jsonOnly);
    nlohmann::json measures = experiment.run();
    if (!experiment.status().ok()) {
        std::cerr << experiment.status() << "\n";
        return 1;
    }
    auto missed = missedGoals(plan.goals, measures);
    for (const std::string& goal : missed)
        std::cerr << "goal missed: " << goal << "\n";
    std::cout << measures.dump() << std::endl;
    return missed.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    std::string file;
    std::string programs;
    std::string runFolder;
    uint16_t basePort = 21000;
    uint64_t seed = 0;
    po::options_description description(
        "cicadaward-bench runs one experiment. Exit codes: 0 all goals met, 1 a goal "
        "missed or the run failed, 2 bad command line or plan.\nExample: cicadaward-bench "
        "--plan experiments/demo.ini --programs build/daemons --run-folder run/demo");
    auto add = description.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("plan", po::value(&file)->required(), "INI file of the experiment");
    add("programs", po::value(&programs)->required(), "folder of the daemons and of cicadaward-target");
    add("run-folder", po::value(&runFolder)->required(), "folder for settings, logs and data; emptied first");
    add("base-port", po::value(&basePort), "first of the loopback ports that are used");
    add("seed", po::value(&seed), "seed instead of the plan's");
    add("json", "print only the last line");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        if (values.count("version") > 0) {
            std::cout << "cicadaward-bench " << CICADAWARD_VERSION << "\n";
            return 0;
        }
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
    Findings findings;
    auto plan = loadPlan(file, findings);
    if (!plan) {
        std::cerr << findings.report();
        return 2;
    }
    boost::filesystem::remove_all(runFolder);
    boost::filesystem::create_directories(runFolder);
    plan->topology.programs = programs;
    plan->topology.runFolder = runFolder;
    plan->topology.basePort = basePort;
    if (seed != 0)
        plan->seed = seed;
    plan->topology.seed = plan->seed;
    return runExperiment(*plan, values.count("json") > 0);
}
