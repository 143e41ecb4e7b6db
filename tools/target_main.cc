// cicadaward-target: the stand-in target as a process.

#include "target.h"

#include <boost/program_options.hpp>
#include <iostream>

using namespace cicadaward;

namespace {

bool parseEndpoint(const std::string& text, Endpoint& endpoint)
{
    size_t colon = text.find(':');
    if (colon == std::string::npos || !parseAddress(text.substr(0, colon), endpoint.address))
        return false;
    endpoint.port = static_cast<uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10));
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    TargetOptions options;
    std::string address;
    std::string packets;
    std::string agent;
    std::string http;
    int64_t coldMs = 0;
    int64_t workMs = 5;
    po::options_description description("cicadaward-target, a stand-in target for experiments");
    auto add = description.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("name", po::value(&options.name)->required(), "name in answers and counts");
    add("address", po::value(&address)->required(), "address of the service");
    add("packets", po::value(&packets)->required(), "ip:port for packets from the agent");
    add("agent", po::value(&agent)->required(), "ip:port of the agent for answers");
    add("http", po::value(&http)->required(), "ip:port for requests, health and counts");
    add("run-log", po::value(&options.runLog), "file that lists the id of each started request");
    add("slots", po::value(&options.slots), "requests at the same time when warm");
    add("flows", po::value(&options.flows), "open flows when warm");
    add("cold-share", po::value(&options.coldShare), "share of both that a cold target bears");
    add("cold-ms", po::value(&coldMs), "time from the start until warm");
    add("work-ms", po::value(&workMs), "time that one request takes");
    add("incarnation", po::value(&options.incarnation), "number of this start; default: milliseconds since 1970");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        if (values.count("version") > 0) {
            std::cout << "cicadaward-target " << CICADAWARD_VERSION << "\n";
            return 0;
        }
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
    if (!parseAddress(address, options.serviceAddress) || !parseEndpoint(packets, options.packets)
        || !parseEndpoint(agent, options.agent) || !parseEndpoint(http, options.http)) {
        std::cerr << "an address is not of the form ip:port\n";
        return 2;
    }
    options.coldTime = std::chrono::milliseconds(coldMs);
    options.workTime = std::chrono::milliseconds(workMs);
    boost::asio::io_context context;
    SystemClock clock;
    if (options.incarnation == 0)
        options.incarnation = static_cast<uint64_t>(clock.wallTime().count());
    Target target(context, clock, options);
    if (!target.status().ok()) {
        std::cerr << target.status() << "\n";
        return 1;
    }
    context.run();
    return 0;
}
