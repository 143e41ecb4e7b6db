// An experiment as it is written in an INI file under experiments/: topology, load, events and goals.
//
//     [experiment]  description, seconds, seed
//     [topology]    region, data-centres, entries, controls, announce-ms, proxied, delay-between-ms, delay-callers-ms
//     [service.NAME] address, servers, slots, flows-per-target, feeds, requests-per-second, cold-share, cold-ms,
//     work-ms [events]      NUMBER = SECONDS ACTION [ARGUMENT] [goals]       max.MEASURE = value, min.MEASURE = value
//
// Events: data-centre-out, data-centre-in, drain, undrain, turn-cold (a target); kill, start, stop, freeze, resume (any
// process by name, see topology.h); kill-leader; race (two operators send different manifests of equal version).
// Events of a proxied topology: cut, cut-in, cut-out, heal (a process, or "leader" for the control leader, from and to
// all control instances; silently); cut-data-centre, heal-data-centre (all links that cross its border); loss,
// duplication, reordering (percent of the packets between fabric, entries and agents); delay (ms more on every link
// between data centres and to callers).
#pragma once

#include "core/findings.h"
#include "topology.h"

#include <optional>
#include <string>
#include <vector>

namespace cicadaward {

struct PlannedEvent {
    double seconds = 0; // since the callers started
    std::string action;
    std::string argument;
};

struct Goal {
    std::string measure;
    bool isMaximum = true;
    double bound = 0;
};

struct ExperimentPlan {
    std::string name;
    std::string description;
    double seconds = 20;
    uint64_t seed = 1;
    TopologyPlan topology;
    std::vector<PlannedEvent> events; // by time
    std::vector<Goal> goals;
};

bool isLinkEvent(const std::string& action);

std::optional<ExperimentPlan> loadPlan(const std::string& file, Findings& findings);

} // namespace cicadaward
