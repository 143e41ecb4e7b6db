#include "commands.h"

#include "epoch_wait.h"
#include "manifest_diff.h"
#include "output.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

namespace cicadaward {

using Json = nlohmann::json;

Commands::Commands(const CtlOptions& options, std::ostream& out, std::ostream& err)
    : m_options(options)
    , m_out(out)
    , m_err(err)
    , m_client(options.instances, options.token, options.who, options.timeout)
{
}

CtlExit Commands::run()
{
    struct Entry {
        const char* name;
        CtlExit (Commands::*run)();
    };
    static const Entry entries[] = {
        { "apply", &Commands::apply },
        { "diff", &Commands::diff },
        { "show", &Commands::show },
        { "status", &Commands::status },
        { "members", &Commands::members },
        { "data-centre", &Commands::dataCentre },
        { "history", &Commands::history },
        { "events", &Commands::events },
        { "metrics", &Commands::metrics },
    };
    for (const Entry& entry : entries) {
        if (m_options.command == entry.name)
            return (this->*entry.run)();
    }
    return CtlExit::Usage;
}

bool Commands::readManifest(std::string& text, Manifest& manifest)
{
    const std::string& path = m_options.arguments[0];
    std::ifstream file(path, std::ios::binary);
    if (!file.is_open()) {
        m_err << path << ": cannot be read\n";
        return false;
    }
    // One byte more than the limit, so that a larger file is a finding and is not read as a whole.
    text.resize(maxManifestSize + 1);
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<size_t>(file.gcount()));
    Findings findings;
    std::optional<Manifest> parsed = parseManifest(path, text, findings);
    if (!parsed) {
        m_err << findings.report();
        return false;
    }
    manifest = std::move(*parsed);
    return true;
}

CtlExit Commands::apply()
{
    std::string text;
    Manifest manifest;
    if (!readManifest(text, manifest))
        return CtlExit::Usage;
    return change("/v1/manifest", text);
}

CtlExit Commands::dataCentre()
{
    std::string target = "/v1/data-centres/" + percentEncode(m_options.arguments[1]) + "/" + m_options.arguments[0];
    if (m_options.replaces != 0)
        target += "?replaces=" + std::to_string(m_options.replaces);
    return change(target, "");
}

CtlExit Commands::change(const std::string& target, const std::string& body)
{
    AdminResponse response = m_client.call(AdminVerb::Post, target, body);
    if (response.status != 200)
        return printFailure(response);
    return finishChange(response.body);
}

CtlExit Commands::finishChange(const std::string& body)
{
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        m_err << "the response of the instance is not a JSON object\n";
        return CtlExit::Refused;
    }
    EpochWait wait;
    if (m_options.wait) {
        wait = waitForEpoch(m_client, json.value("epoch", uint64_t(0)));
        json["everywhere"] = wait.done;
        json["behindCount"] = wait.behindCount;
        json["behind"] = wait.behind;
        if (!wait.unknownReason.empty())
            json["trouble"] = wait.unknownReason;
    }
    if (m_options.json)
        m_out << json.dump() << "\n";
    else {
        json.erase("findings");
        printFields(m_out, json);
    }
    if (!m_options.wait || wait.done)
        return CtlExit::Done;
    if (!wait.unknownReason.empty())
        m_err << "it is not known whether all processes have applied the change: " << wait.unknownReason << "\n";
    else
        m_err << wait.behindCount << " of " << wait.members << " processes have not applied the change yet:\n";
    for (const std::string& name : wait.behind)
        m_err << "  " << name << "\n";
    return CtlExit::NotEverywhere;
}

CtlExit Commands::printFailure(const AdminResponse& response)
{
    if (response.status == 0) {
        m_err << "no instance answered" << (response.instance.empty() ? "" : "; " + response.instance) << ": "
              << response.body << "\n";
        return CtlExit::Refused;
    }
    if (m_options.json) {
        m_out << response.body << "\n";
        return CtlExit::Refused;
    }
    Json json = Json::parse(response.body, nullptr, false);
    m_err << response.instance << " answers " << response.status;
    if (!json.is_object()) {
        m_err << ": " << response.body << "\n";
        return CtlExit::Refused;
    }
    m_err << ": " << cellText(json.value("error", Json("refused"))) << "\n";
    for (const char* key : { "outcome", "version", "epoch", "who", "currentVersion" }) {
        if (json.contains(key))
            m_err << "  " << key << ": " << cellText(json[key]) << "\n";
    }
    for (const Json& finding : json.value("findings", Json::array()))
        m_err << "  " << cellText(finding) << "\n";
    return CtlExit::Refused;
}

bool Commands::read(const std::string& target, std::string& body)
{
    AdminResponse response = m_client.call(AdminVerb::Get, target);
    if (response.status != 200) {
        printFailure(response);
        return false;
    }
    body = std::move(response.body);
    return true;
}

bool Commands::readFromLeader(const std::string& target, std::string& body)
{
    std::vector<AdminResponse> responses = m_client.callAll("/v1/status");
    if (const AdminResponse* found = findLeaderStatus(responses)) {
        m_client.prefer(found->instance);
        if (!isLeaderStatus(*found))
            m_err << "no instance that answers leads with a quorum; " << found->instance
                  << " answers, and its view may be old\n";
    }
    return read(target, body);
}

CtlExit Commands::diff()
{
    std::string text;
    Manifest wanted;
    if (!readManifest(text, wanted))
        return CtlExit::Usage;
    std::string body;
    if (!readFromLeader("/v1/manifest", body))
        return CtlExit::Refused;
    Findings findings;
    // Before the first manifest the answer has version 0, which is no valid manifest.
    Manifest inForce = parseManifest("answer", body, findings).value_or(Manifest {});
    std::vector<std::string> lines = diffManifests(inForce, wanted);
    if (m_options.json) {
        m_out << Json { { "currentVersion", inForce.version }, { "version", wanted.version },
            { "replaces", wanted.replaces }, { "changes", lines } }
                     .dump()
              << "\n";
        return CtlExit::Done;
    }
    m_out << "version " << inForce.version << " -> " << wanted.version << "\n";
    if (wanted.version <= inForce.version)
        m_out << "! version " << wanted.version << " is not above the version in force\n";
    else if (wanted.replaces != inForce.version)
        m_out << "! replaces " << wanted.replaces << ", but version " << inForce.version << " is in force\n";
    for (const std::string& line : lines)
        m_out << line << "\n";
    if (lines.empty())
        m_out << "no change\n";
    return CtlExit::Done;
}

CtlExit Commands::show()
{
    std::string body;
    if (!readFromLeader("/v1/manifest", body))
        return CtlExit::Refused;
    Findings findings;
    std::optional<Manifest> manifest = parseManifest("answer", body, findings);
    if (m_options.json || !manifest) {
        m_out << body << (body.empty() || body.back() != '\n' ? "\n" : "");
        return CtlExit::Done;
    }
    m_out << "version " << manifest->version << ", replaces " << manifest->replaces << "\n\n";
    std::vector<TableRow> dataCentres;
    for (const DataCentreSpec& dataCentre : manifest->dataCentres)
        dataCentres.push_back({ dataCentre.name, dataCentre.out ? "out" : "in" });
    printTable(m_out, { "data centre", "state" }, dataCentres);
    m_out << "\n";
    Json services = Json::parse(body)["services"];
    for (Json& service : services) {
        std::string ports;
        for (const Json& port : service["ports"])
            ports += (ports.empty() ? "" : ",") + port["port"].dump() + "/" + cellText(port["protocol"]) + "/"
                + cellText(port["mode"]);
        service["ports"] = ports;
    }
    printObjects(
        m_out, { "name", "address", "ports", "buckets", "slotsPerTarget", "flowsPerTarget", "coldShare" }, services);
    return CtlExit::Done;
}

CtlExit Commands::status()
{
    std::vector<AdminResponse> responses = m_client.callAll("/v1/status");
    const AdminResponse* found = findLeaderStatus(responses);
    if (!found) {
        for (const AdminResponse& response : responses)
            printFailure(response);
        return CtlExit::Refused;
    }
    Json json = Json::parse(found->body, nullptr, false);
    bool leads = json.value("isLeader", false) && json.value("quorum", false);
    if (m_options.json)
        m_out << json.dump() << "\n";
    else {
        printFields(m_out, json);
        for (const char* key : { "behind", "findings" }) {
            for (const Json& item : json.value(key, Json::array()))
                m_out << key << ": " << cellText(item) << "\n";
        }
        m_out << "\n";
        printObjects(m_out, { "name", "id", "voter", "active", "synced" }, json.value("instances", Json::array()));
    }
    for (const AdminResponse& response : responses) {
        if (response.status != 200)
            m_err << response.instance << ": "
                  << (response.status == 0 ? response.body : "status " + std::to_string(response.status)) << "\n";
    }
    if (leads)
        return CtlExit::Done;
    m_err << "no instance that answers leads with a quorum; this is the view of " << found->instance << "\n";
    return CtlExit::Refused;
}

CtlExit Commands::members()
{
    std::string body;
    if (!readFromLeader("/v1/members", body))
        return CtlExit::Refused;
    if (m_options.json)
        m_out << body << "\n";
    else
        printObjects(m_out, { "name", "role", "state", "service", "dataCentre", "tunnel", "capacity" },
            Json::parse(body, nullptr, false));
    return CtlExit::Done;
}

CtlExit Commands::history()
{
    std::string body;
    if (!readFromLeader("/v1/history?limit=" + std::to_string(m_options.limit), body))
        return CtlExit::Refused;
    if (m_options.json)
        m_out << body << "\n";
    else
        printObjects(m_out, { "version", "epoch", "who", "change", "digest" }, Json::parse(body, nullptr, false));
    return CtlExit::Done;
}

CtlExit Commands::events()
{
    std::string body;
    if (!read("/v1/events?limit=" + std::to_string(m_options.limit), body))
        return CtlExit::Refused;
    Json lines = Json::parse(body, nullptr, false);
    if (m_options.json)
        m_out << body << "\n";
    else {
        for (const Json& line : lines)
            m_out << cellText(line) << "\n";
    }
    return CtlExit::Done;
}

CtlExit Commands::metrics()
{
    std::string body;
    if (!read("/v1/metrics", body))
        return CtlExit::Refused;
    Json json = Json::parse(body, nullptr, false);
    if (m_options.json || !json.is_object())
        m_out << body << "\n";
    else
        printFields(m_out, json);
    return CtlExit::Done;
}

} // namespace cicadaward
