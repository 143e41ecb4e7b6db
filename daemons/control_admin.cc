// Text from callers may hold bytes that are not UTF-8. They are replaced in responses, because the JSON library
// otherwise throws when it serializes them.

#include "control_admin.h"

#include <boost/algorithm/string.hpp>
#include <boost/circular_buffer.hpp>
#include <easylogging++.h>
#include <mutex>
#include <nlohmann/json.hpp>

namespace cicadaward {

namespace detail {

    using Json = nlohmann::json;

    constexpr size_t maxRecentEvents = 512;
    constexpr size_t maxRecentEventBytes = 1024;
    // Versions need not be consecutive; the history ends after this many missing versions.
    constexpr uint64_t maxHistoryGap = 65536;

    std::string dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

    int hexDigit(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
    }

    bool percentDecode(std::string& text)
    {
        std::string result;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                result += text[i];
                continue;
            }
            int high = i + 2 < text.size() ? hexDigit(text[i + 1]) : -1;
            int low = i + 2 < text.size() ? hexDigit(text[i + 2]) : -1;
            if (high < 0 || low < 0)
                return false;
            result += static_cast<char>(high * 16 + low);
            i += 2;
        }
        text = std::move(result);
        return true;
    }

    std::string describeRefusal(const control::ManifestResult& result)
    {
        std::string version = std::to_string(result.version);
        std::string current = std::to_string(result.currentVersion);
        switch (result.outcome) {
        case control::ManifestOutcome::Accepted:
            return "";
        case control::ManifestOutcome::Conflict:
            return "version " + version + " was accepted with other content" + (result.who.empty() ? "" : ", sent by ")
                + result.who;
        case control::ManifestOutcome::Older:
            return "version " + version + " is older than version " + current + ", which is in force";
        case control::ManifestOutcome::WrongBase:
            return "\"replaces\" does not name version " + current + ", which is in force";
        case control::ManifestOutcome::Invalid:
            return "the change is not valid";
        case control::ManifestOutcome::AlreadyApplied:
            return "the log entry was applied before";
        case control::ManifestOutcome::NoLeader:
            return "not decided: no leader is known; send it again";
        case control::ManifestOutcome::Unknown:
            return "not decided in time, it may still be accepted; send it again for the answer";
        case control::ManifestOutcome::Busy:
            return "not decided: too many changes are waiting; send it again";
        }
        return "refused";
    }

    // Receives every line that the event log writes. easylogging++ calls it from the thread that writes the event.
    class RecentEventBuffer : public el::LogDispatchCallback {
    public:
        static std::mutex& linesMutex()
        {
            static std::mutex mutex;
            return mutex;
        }
        static boost::circular_buffer<std::string>& lines()
        {
            static boost::circular_buffer<std::string> buffer(maxRecentEvents);
            return buffer;
        }

    protected:
        void handle(const el::LogDispatchData* data) override
        {
            std::lock_guard<std::mutex> guard(linesMutex());
            lines().push_back(data->logMessage()->message().substr(0, maxRecentEventBytes));
        }
    };

} // namespace detail

bool parseAdminTarget(const std::string& target, AdminTarget& result)
{
    result = {};
    size_t queryStart = target.find('?');
    std::string path = target.substr(0, queryStart);
    boost::split(result.path, path, boost::is_any_of("/"));
    if (result.path.size() < 2 || !result.path[0].empty())
        return false;
    result.path.erase(result.path.begin());
    for (std::string& part : result.path) {
        if (!detail::percentDecode(part))
            return false;
    }
    if (queryStart == std::string::npos)
        return true;
    std::vector<std::string> pairs;
    std::string query = target.substr(queryStart + 1);
    boost::split(pairs, query, boost::is_any_of("&"));
    for (const std::string& pair : pairs) {
        size_t equals = pair.find('=');
        std::string key = pair.substr(0, equals);
        std::string value = equals == std::string::npos ? "" : pair.substr(equals + 1);
        if (!detail::percentDecode(key) || !detail::percentDecode(value))
            return false;
        result.query[key] = value;
    }
    return true;
}

unsigned checkAdminRequest(const std::string& method, const std::string& text)
{
    AdminTarget target;
    if (!parseAdminTarget(text, target))
        return 400;
    const std::vector<std::string>& path = target.path;
    bool dataCentre = path.size() == 4 && path[0] == "v1" && path[1] == "data-centres" && !path[2].empty()
        && (path[3] == "out" || path[3] == "in");
    if (dataCentre)
        return method == "POST" ? 200 : 405;
    if (path.size() != 2 || path[0] != "v1")
        return 404;
    if (path[1] == "manifest")
        return method == "GET" || method == "POST" ? 200 : 405;
    static const char* const readable[] = { "status", "members", "metrics", "events", "history" };
    for (const char* name : readable) {
        if (path[1] == name)
            return method == "GET" ? 200 : 405;
    }
    return 404;
}

bool parseQueryNumber(
    const AdminTarget& target, const std::string& key, uint64_t maxValue, uint64_t defaultValue, uint64_t& value)
{
    value = defaultValue;
    auto found = target.query.find(key);
    if (found == target.query.end())
        return true;
    const std::string& text = found->second;
    if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos)
        return false;
    value = std::stoull(text);
    return value >= 1 && value <= maxValue;
}

bool parseAdminChange(const AdminCall& call, control::ManifestCommand& command, std::string& error)
{
    AdminTarget target;
    command.who = call.who;
    if (!parseAdminTarget(call.path, target)) {
        error = "the request target does not start with '/' or holds a malformed percent code";
        return false;
    }
    if (target.path.size() == 2) {
        command.manifest = call.body;
        return true;
    }
    if (target.path.size() != 4) {
        error = "no such path";
        return false;
    }
    if (!parseQueryNumber(target, "replaces", UINT64_MAX / 2, 0, command.replaces)) {
        error = "\"replaces\" must be a manifest version, a whole number from 1";
        return false;
    }
    command.dataCentre = target.path[2];
    command.out = target.path[3] == "out";
    return true;
}

unsigned httpStatusForOutcome(control::ManifestOutcome outcome)
{
    switch (outcome) {
    case control::ManifestOutcome::Accepted:
        return 200;
    case control::ManifestOutcome::Conflict:
    case control::ManifestOutcome::Older:
    case control::ManifestOutcome::WrongBase:
    case control::ManifestOutcome::AlreadyApplied:
        return 409;
    case control::ManifestOutcome::Invalid:
        return 422;
    case control::ManifestOutcome::NoLeader:
    case control::ManifestOutcome::Busy:
        return 503;
    case control::ManifestOutcome::Unknown:
        return 504;
    }
    return 500;
}

const char* outcomeName(control::ManifestOutcome outcome)
{
    static const char* const names[] = { "accepted", "conflict", "older", "wrong-base", "invalid", "already-applied",
        "no-leader", "unknown", "busy" };
    return names[static_cast<size_t>(outcome)];
}

std::string formatError(const std::string& error)
{
    nlohmann::json json;
    json["error"] = error;
    return detail::dump(json);
}

std::string formatResult(const control::ManifestResult& result)
{
    nlohmann::json json { { "outcome", outcomeName(result.outcome) }, { "version", result.version },
        { "epoch", result.epoch.value() }, { "digest", result.digest }, { "who", result.who },
        { "repeated", result.repeated }, { "currentVersion", result.currentVersion }, { "findings", result.findings } };
    if (result.outcome != control::ManifestOutcome::Accepted)
        json["error"] = detail::describeRefusal(result);
    return detail::dump(json);
}

std::string formatStatus(const std::string& name, const std::string& leader, const control::StatusReply& status,
    const raft::RaftStatus& raft, const std::function<std::string(InstanceId)>& nameOf)
{
    nlohmann::json instances = nlohmann::json::array();
    for (const raft::InstanceStatus& instance : raft.instances) {
        instances.push_back({ { "name", nameOf(instance.id) }, { "id", instance.id.value() },
            { "voter", instance.isVoter }, { "active", instance.isActive }, { "synced", instance.isCaughtUp } });
    }
    nlohmann::json json { { "instance", name }, { "leader", leader }, { "isLeader", status.isLeader },
        { "term", raft.term.value() }, { "commit", raft.commitIndex }, { "quorum", raft.canRead },
        { "repaired", raft.repaired }, { "instances", instances }, { "manifestVersion", status.manifestVersion },
        { "epoch", status.epoch.value() },
        { "directory", { { "term", status.directory.term.value() }, { "sequence", status.directory.sequence } } },
        { "members", status.members }, { "behindCount", status.behindCount }, { "behind", status.behind },
        { "findings", status.findings } };
    return detail::dump(json);
}

std::string formatMembers(const Directory& directory)
{
    static const char* const states[] = { "warming", "warm", "draining", "target-down" };
    nlohmann::json list = nlohmann::json::array();
    for (const Member& member : directory.members) {
        const Service* service = directory.findService(member.service);
        const DataCentre* dataCentre = directory.findDataCentre(member.dataCentre);
        list.push_back({ { "name", member.name }, { "role", member.role == MemberRole::Entry ? "entry" : "agent" },
            { "state", states[static_cast<size_t>(member.state)] }, { "service", service ? service->spec.name : "" },
            { "dataCentre", dataCentre ? dataCentre->name : "" },
            { "tunnel", formatAddress(member.tunnel.address) + ":" + std::to_string(member.tunnel.port) },
            { "capacity", member.capacity }, { "process", member.process.value() },
            { "target", member.target.value() } });
    }
    return detail::dump(list);
}

std::string formatHistory(const control::ManifestRegister& manifests, size_t limit)
{
    nlohmann::json list = nlohmann::json::array();
    uint64_t misses = 0;
    for (uint64_t version = manifests.version(); version > 0 && list.size() < limit; --version) {
        const control::ManifestRegister::HistoryEntry* entry = manifests.findVersion(version);
        if (!entry) {
            if (++misses > detail::maxHistoryGap)
                break;
            continue;
        }
        list.push_back({ { "version", entry->version }, { "epoch", entry->epoch.value() }, { "digest", entry->digest },
            { "who", entry->who }, { "change", entry->change } });
    }
    return detail::dump(list);
}

void enableRecentEvents()
{
    el::Helpers::installLogDispatchCallback<detail::RecentEventBuffer>("cicadaward-recent-events");
}

std::string recentEvents(size_t limit)
{
    nlohmann::json list = nlohmann::json::array();
    std::lock_guard<std::mutex> guard(detail::RecentEventBuffer::linesMutex());
    const auto& lines = detail::RecentEventBuffer::lines();
    for (size_t i = lines.size() - std::min(limit, lines.size()); i < lines.size(); ++i)
        list.push_back(lines[i]);
    return detail::dump(list);
}

} // namespace cicadaward
