// A process that the experiment tool starts and ends. Ends with the tool: the destructor kills it.
#pragma once

#include <boost/process.hpp>
#include <string>
#include <vector>

namespace cicadaward {

class Process {
public:
    Process(std::string program, std::vector<std::string> arguments, std::string logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start();
    bool isRunning();
    void kill(); // SIGKILL, waits
    void terminate(); // SIGTERM, does not wait
    void freeze(); // SIGSTOP
    void resume(); // SIGCONT
    // Exit code of a process that has ended by itself; -1 while it runs or after a signal.
    int exitCode();

private:
    void signal(int number);

    std::string m_program;
    std::vector<std::string> m_arguments;
    std::string m_logFile;
    boost::process::child m_child;
};

} // namespace cicadaward
