// Real control instances on the loopback address for one test case, in a folder of their own. All processes and the
// folder go with the object.
//
//     ControlGroup group(3, 23000);
//     group.start();
//     group.waitUntilRepaired();
//     ProgramResult result = group.ctl({ "apply", group.write("m.json", text) });
#pragma once

#include "admin_client.h"
#include "process.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

namespace cicadaward {

struct ProgramResult {
    int code = -1;
    std::string out;
    std::string err;
};

// Checks until the condition holds; false after two minutes, which only a fault reaches.
bool waitUntil(const std::function<bool()>& condition);

class ControlGroup {
public:
    // Uses the ports basePort to basePort + 2 * count - 1.
    ControlGroup(int count, uint16_t basePort);
    ~ControlGroup();
    ControlGroup(const ControlGroup&) = delete;
    ControlGroup& operator=(const ControlGroup&) = delete;

    void start();
    Process& instance(int number) { return *m_instances.at(static_cast<size_t>(number - 1)); } // from 1
    void stop(int number); // planned; waits for the end
    void emptyDataFolder(int number);

    std::string folder() const { return m_folder; }
    std::string write(const std::string& name, const std::string& text) const; // mode 0600; returns the path
    std::string logText(int number) const;
    std::string peerList() const { return m_peers; } // "ip:port, ip:port"

    ProgramResult run(const std::string& program, const std::vector<std::string>& arguments) const;
    // The command line with all instances, or with one.
    ProgramResult ctl(const std::vector<std::string>& arguments) const;
    ProgramResult ctlAt(int number, const std::vector<std::string>& arguments) const;
    std::vector<std::string> ctlArguments(
        const std::vector<int>& numbers, const std::vector<std::string>& arguments) const;
    // One call without the command line.
    AdminResponse call(int number, AdminVerb verb, const std::string& target, const std::string& body = "",
        const std::string& who = "test") const;

    uint16_t adminPort(int number) const;
    // Of the leader, or of one instance; null when there is none.
    nlohmann::json status() const;
    nlohmann::json statusOf(int number) const;
    int leader() const; // number, 0 when there is none
    bool waitUntilRepaired() const;

private:
    int m_count;
    uint16_t m_basePort;
    std::string m_folder;
    std::string m_peers;
    std::vector<std::unique_ptr<Process>> m_instances;
    mutable int m_runs = 0;
};

// A manifest with data centres dc-1 and dc-2 and one service.
std::string manifestText(uint64_t version, uint64_t replaces, int slots = 3);

constexpr const char* testToken = "a-token-for-the-tests";

} // namespace cicadaward
