#include "process.h"

#include <csignal>

namespace cicadaward {

namespace bp = boost::process;

Process::Process(std::string program, std::vector<std::string> arguments, std::string logFile)
    : m_program(std::move(program))
    , m_arguments(std::move(arguments))
    , m_logFile(std::move(logFile))
{
}

Process::~Process() { kill(); }

void Process::start()
{
    kill();
    // Output is appended, so that the log of a killed start is kept.
    std::FILE* log = std::fopen(m_logFile.c_str(), "a");
    if (!log)
        log = std::fopen("/dev/null", "a");
    m_child = bp::child(m_program, bp::args(m_arguments), bp::std_in<bp::null, bp::std_out> log, bp::std_err > log);
    std::fclose(log);
}

bool Process::isRunning()
{
    std::error_code error;
    return m_child.valid() && m_child.running(error);
}

void Process::signal(int number)
{
    if (isRunning())
        ::kill(m_child.id(), number);
}

void Process::kill()
{
    if (!m_child.valid())
        return;
    signal(SIGKILL);
    std::error_code error;
    m_child.wait(error);
}

void Process::terminate() { signal(SIGTERM); }

void Process::freeze() { signal(SIGSTOP); }

void Process::resume() { signal(SIGCONT); }

int Process::exitCode()
{
    if (!m_child.valid() || isRunning())
        return -1;
    int status = m_child.native_exit_code();
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace cicadaward
