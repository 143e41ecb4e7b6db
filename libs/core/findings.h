// Collects everything that is wrong with an input, each with its place, so that the user sees all of it in one report.
//
//     Findings findings;
//     if (port > 65535)
//         findings.add({ "entry.ini", 12, "listen.port" }, "must be at most 65535");
//     return findings.status(); // OK when empty, else InvalidArgument with one line for each finding
#pragma once

#include <absl/status/status.h>
#include <string>
#include <vector>

namespace cicadaward {

struct Place {
    std::string source; // file name, or the name of the input
    int line = 0; // from 1; 0 when unknown
    std::string key; // setting or JSON path; may be empty
};

struct Finding {
    Place place;
    std::string message;
};

constexpr size_t maxFindings = 100; // an input can be wrong in as many places as it has bytes

class Findings {
public:
    // Findings beyond maxFindings are counted only.
    void add(Place place, std::string message);

    bool empty() const { return m_findings.empty(); }
    const std::vector<Finding>& all() const { return m_findings; }

    // One line for each finding: "source:line: key: message".
    std::string report() const;
    absl::Status status() const;

private:
    std::vector<Finding> m_findings;
    size_t m_further = 0;
};

} // namespace cicadaward
