#include "control_group.h"

#include <boost/filesystem.hpp>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace cicadaward {

namespace detail {

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

} // namespace detail

bool waitUntil(const std::function<bool()>& condition)
{
    auto end = std::chrono::steady_clock::now() + std::chrono::minutes(2);
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

ControlGroup::ControlGroup(int count, uint16_t basePort)
    : m_count(count)
    , m_basePort(basePort)
    , m_folder((boost::filesystem::temp_directory_path()
          / ("cicadaward-ctl-" + std::to_string(getpid()) + "-" + std::to_string(basePort)))
                   .string())
{
    boost::filesystem::remove_all(m_folder);
    boost::filesystem::create_directories(m_folder);
    write("keys", "1 000102030405060708090a0b0c0d0e0f\n");
    write("token", std::string(testToken) + "\n");
    std::string named;
    for (int i = 1; i <= count; ++i) {
        std::string endpoint = detail::loopback(basePort + i - 1);
        m_peers += (i == 1 ? "" : ", ") + endpoint;
        named += (i == 1 ? "" : ", ") + std::string("control-") + std::to_string(i) + "=" + endpoint;
    }
    for (int i = 1; i <= count; ++i) {
        std::string name = "control-" + std::to_string(i);
        std::ostringstream settings;
        settings << "[instance]\nname = " << name << "\ndata-centre = dc-1\nid-key-file = " << m_folder
                 << "/keys\n[listen]\npeers = " << detail::loopback(basePort + i - 1)
                 << "\n[control]\npeers = " << named << "\nbootstrap = " << (i == 1 ? "true" : "false")
                 << "\n[data]\nfolder = " << m_folder << "/" << name
                 << "-data\n[admin]\nlisten = " << detail::loopback(adminPort(i)) << "\ntoken-file = " << m_folder
                 << "/token\n[log]\nfile = " << m_folder << "/" << name << ".log\n";
        std::string file = write(name + ".ini", settings.str());
        m_instances.push_back(std::make_unique<Process>(std::string(CICADAWARD_PROGRAMS) + "/cicadaward-control",
            std::vector<std::string> { "--config", file }, m_folder + "/" + name + ".out"));
    }
}

ControlGroup::~ControlGroup()
{
    m_instances.clear();
    boost::system::error_code error;
    boost::filesystem::remove_all(m_folder, error);
}

void ControlGroup::start()
{
    for (auto& instance : m_instances)
        instance->start();
}

void ControlGroup::stop(int number)
{
    instance(number).terminate();
    waitUntil([&] { return !instance(number).isRunning(); });
}

void ControlGroup::emptyDataFolder(int number)
{
    boost::filesystem::remove_all(m_folder + "/control-" + std::to_string(number) + "-data");
}

std::string ControlGroup::write(const std::string& name, const std::string& text) const
{
    std::string path = m_folder + "/" + name;
    std::ofstream(path) << text;
    chmod(path.c_str(), S_IRUSR | S_IWUSR);
    return path;
}

std::string ControlGroup::logText(int number) const
{
    std::string name = m_folder + "/control-" + std::to_string(number);
    return detail::readFile(name + ".log") + detail::readFile(name + ".out");
}

uint16_t ControlGroup::adminPort(int number) const { return static_cast<uint16_t>(m_basePort + m_count + number - 1); }

ProgramResult ControlGroup::run(const std::string& program, const std::vector<std::string>& arguments) const
{
    namespace bp = boost::process;
    std::string output = m_folder + "/run-" + std::to_string(++m_runs);
    bp::child child(std::string(CICADAWARD_PROGRAMS) + "/" + program, bp::args(arguments),
        bp::std_in<bp::null, bp::std_out>(output + ".out"), bp::std_err > (output + ".err"));
    child.wait();
    return { child.exit_code(), detail::readFile(output + ".out"), detail::readFile(output + ".err") };
}

std::vector<std::string> ControlGroup::ctlArguments(
    const std::vector<int>& numbers, const std::vector<std::string>& arguments) const
{
    std::vector<std::string> result { "--token-file", m_folder + "/token", "--timeout", "60" };
    for (int number : numbers) {
        result.emplace_back("--control");
        result.push_back(detail::loopback(adminPort(number)));
    }
    // A later --timeout would be an error, so a given one replaces the default.
    for (const std::string& argument : arguments) {
        if (argument == "--timeout")
            result.erase(result.begin() + 2, result.begin() + 4);
    }
    result.insert(result.end(), arguments.begin(), arguments.end());
    return result;
}

ProgramResult ControlGroup::ctl(const std::vector<std::string>& arguments) const
{
    std::vector<int> numbers;
    for (int i = 1; i <= m_count; ++i)
        numbers.push_back(i);
    return run("cicadawardctl", ctlArguments(numbers, arguments));
}

ProgramResult ControlGroup::ctlAt(int number, const std::vector<std::string>& arguments) const
{
    return run("cicadawardctl", ctlArguments({ number }, arguments));
}

AdminResponse ControlGroup::call(
    int number, AdminVerb verb, const std::string& target, const std::string& body, const std::string& who) const
{
    AdminClient client({ { 0x7f000001, adminPort(number) } }, testToken, who, std::chrono::seconds(30));
    return client.call(verb, target, body);
}

nlohmann::json ControlGroup::statusOf(int number) const
{
    AdminClient client({ { 0x7f000001, adminPort(number) } }, testToken, "test", std::chrono::seconds(2));
    AdminResponse response = client.callAll("/v1/status").front();
    nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
    return response.status == 200 && json.is_object() ? json : nlohmann::json();
}

int ControlGroup::leader() const
{
    for (int i = 1; i <= m_count; ++i) {
        nlohmann::json status = statusOf(i);
        if (status.is_object() && status["isLeader"] == true && status["quorum"] == true)
            return i;
    }
    return 0;
}

nlohmann::json ControlGroup::status() const
{
    int number = leader();
    return number == 0 ? nlohmann::json() : statusOf(number);
}

bool ControlGroup::waitUntilRepaired() const
{
    return waitUntil([&] {
        nlohmann::json status = this->status();
        return status.is_object() && status["repaired"] == true
            && status["instances"].size() == static_cast<size_t>(m_count);
    });
}

std::string manifestText(uint64_t version, uint64_t replaces, int slots)
{
    nlohmann::json json { { "version", version }, { "replaces", replaces },
        { "dataCentres", { { { "name", "dc-1" } }, { { "name", "dc-2" } } } },
        { "services",
            { { { "name", "catalogue" }, { "address", "10.100.0.2" }, { "slotsPerTarget", slots },
                { "ports", { { { "port", 8080 }, { "protocol", "tcp" }, { "mode", "request" } } } } } } } };
    return json.dump();
}

} // namespace cicadaward
