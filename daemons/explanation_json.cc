#include "explanation_json.h"

#include "core/findings.h"
#include "core/json_nesting.h"
#include "flow_daemon.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cicadaward {

namespace {

    using nlohmann::json;
    using steering::AgentExplanation;
    using steering::Decision;
    using steering::EntryExplanation;
    using steering::TargetState;

    constexpr char explainPath[] = "/explain";
    constexpr size_t maxExplanationNesting = 8;
    constexpr uint64_t maxNumber = INT64_MAX; // of an answer
    constexpr uint64_t maxWaitMs = 3'600'000;

    // Service keys use all 64 bits, which not every reader of JSON numbers keeps.
    std::string formatKey(steering::ServiceKey key) { return absl::StrCat(absl::Hex(key.value(), absl::kZeroPad16)); }

    std::optional<steering::ServiceKey> parseKey(const std::string& text)
    {
        uint64_t value = 0;
        if (!absl::SimpleHexAtoi(text, &value))
            return std::nullopt;
        return steering::ServiceKey(value);
    }

    json contactJson(const ControlContact& contact)
    {
        return { { "heardState", contact.heardState }, { "behindMs", contact.behindMs },
            { "inContact", contact.isInContact }, { "lastReplyMs", contact.lastReplyMs } };
    }

    // The readers below throw json::exception or std::invalid_argument, which parse() turns into an error value.
    [[noreturn]] void throwMalformed(const std::string& what) { throw std::invalid_argument(what); }

    uint64_t readNumber(const json& object, const char* key, uint64_t maximum = maxNumber)
    {
        const json& value = object.at(key);
        if (!value.is_number_unsigned() || value.get<uint64_t>() > maximum)
            throwMalformed(absl::StrCat(key, " is no whole number up to ", maximum));
        return value.get<uint64_t>();
    }

    ControlContact readContact(const json& object)
    {
        ControlContact contact;
        contact.heardState = readNumber(object, "heardState");
        contact.behindMs = static_cast<int64_t>(readNumber(object, "behindMs"));
        object.at("inContact").get_to(contact.isInContact);
        contact.lastReplyMs = static_cast<int64_t>(readNumber(object, "lastReplyMs"));
        return contact;
    }

    Endpoint readEndpoint(const json& object, const char* key)
    {
        std::optional<Endpoint> endpoint = parseEndpoint(object.at(key).get<std::string>());
        if (!endpoint)
            throwMalformed(absl::StrCat(key, " is not ADDRESS:PORT"));
        return *endpoint;
    }

    TargetState readTargetState(const json& object, const char* key)
    {
        std::string name = object.at(key).get<std::string>();
        for (TargetState state : { TargetState::Unknown, TargetState::Ready, TargetState::Draining, TargetState::Gone,
                 TargetState::Departed }) {
            if (name == targetStateName(state))
                return state;
        }
        throwMalformed(absl::StrCat(key, " is no state of a target"));
    }

    Decision readDecision(const json& object)
    {
        std::string name = object.at("decision").get<std::string>();
        for (Decision decision : { Decision::Offered, Decision::NoRoute, Decision::Unready, Decision::Refused }) {
            if (name == decisionName(decision))
                return decision;
        }
        throwMalformed("decision is none that an entry takes on a SYN");
    }

    void readMembers(const json& object, EntryExplanation& entry)
    {
        for (const json& item : object.at("members")) {
            steering::ExplainedMember member;
            member.agent = readEndpoint(item, "agent");
            item.at("dataCentre").get_to(member.dataCentre);
            member.state = readTargetState(item, "targetState");
            item.at("suspected").get_to(member.isSuspected);
            item.at("heldEarlierFlow").get_to(member.heldEarlierFlow);
            entry.members.push_back(std::move(member));
        }
        for (const json& item : object.at("excluded"))
            entry.excluded.push_back({ readEndpoint(item, "agent"), item.at("reason").get<std::string>() });
        entry.excludedCount = readNumber(object, "excludedCount");
        bool isOffered = entry.decision == Decision::Offered;
        if (entry.members.size() > steering::maxOfferMembers || isOffered == entry.members.empty())
            throwMalformed("members does not fit the decision");
    }

    void readExplanation(const json& object, EntryExplanation& entry)
    {
        entry.state = StateIndex(readNumber(object, "state"));
        entry.version = readNumber(object, "version");
        object.at("ready").get_to(entry.isReady);
        entry.decision = readDecision(object);
        object.at("reason").get_to(entry.reason);
        object.at("route").get_to(entry.route);
        object.at("service").get_to(entry.serviceName);
        std::optional<steering::ServiceKey> key = parseKey(object.at("serviceKey").get<std::string>());
        if (!key)
            throwMalformed("serviceKey is no hexadecimal number");
        entry.service = *key;
        object.at("comparesLoad").get_to(entry.shouldCompareLoad);
        readMembers(object, entry);
        if (auto found = object.find("bulkAdmission"); found != object.end()) {
            steering::BulkAdmissionAnswer bulk;
            bulk.wait = std::chrono::milliseconds(readNumber(*found, "waitMs", maxWaitMs));
            found->at("refusal").get_to(bulk.refusal);
            entry.bulkAdmission = std::move(bulk);
        }
    }

    void readExplanation(const json& object, AgentExplanation& agent)
    {
        agent.state = StateIndex(readNumber(object, "state"));
        agent.version = readNumber(object, "version");
        agent.targetState = readTargetState(object, "targetState");
        object.at("service").get_to(agent.service);
        object.at("refusal").get_to(agent.refusal);
        object.at("outdated").get_to(agent.isOutdated);
        object.at("mayAcceptLater").get_to(agent.mayAcceptLater);
        object.at("ejected").get_to(agent.isEjected);
        object.at("trial").get_to(agent.isTrial);
        agent.load = static_cast<uint16_t>(readNumber(object, "load", UINT16_MAX));
        object.at("loadUnit").get_to(agent.loadUnit);
        agent.openFlows = readNumber(object, "openFlows");
        agent.waitingRequests = readNumber(object, "waitingRequests");
        object.at("hasEarlierFlow").get_to(agent.hasEarlierFlow);
    }

    template <typename Answer> absl::StatusOr<Answer> parse(const std::string& text, const char* role)
    {
        if (text.size() > maxExplanationBytes || isNestedDeeperThan(text, maxExplanationNesting))
            return absl::InvalidArgumentError("too large");
        json object = json::parse(text, nullptr, false);
        if (object.is_discarded())
            return absl::InvalidArgumentError("no JSON");
        try {
            if (object.at("role").get<std::string>() != role)
                return absl::InvalidArgumentError(absl::StrCat("not of an ", role));
            Answer answer;
            object.at("name").get_to(answer.name);
            answer.contact = readContact(object.at("control"));
            readExplanation(object, answer.explanation);
            return answer;
        } catch (const json::exception& error) {
            return absl::InvalidArgumentError(error.what());
        } catch (const std::invalid_argument& error) {
            return absl::InvalidArgumentError(error.what());
        }
    }

    std::string dump(const json& object) { return object.dump(2, ' ', false, json::error_handler_t::replace) + "\n"; }

} // namespace

std::optional<Endpoint> parseEndpoint(const std::string& text)
{
    size_t colon = text.rfind(':');
    Endpoint endpoint;
    uint32_t port = 0;
    bool isPort = colon != std::string::npos && absl::SimpleAtoi(text.substr(colon + 1), &port) && port >= 1
        && port <= UINT16_MAX;
    if (!isPort || !parseAddress(text.substr(0, colon), endpoint.address))
        return std::nullopt;
    endpoint.port = static_cast<uint16_t>(port);
    return endpoint;
}

bool isExplainTarget(const std::string& target)
{
    return target == explainPath || absl::StartsWith(target, absl::StrCat(explainPath, "?"));
}

std::string explainTarget(const ExplainCall& call)
{
    const steering::PlacementQuestion& question = call.question;
    std::string target = absl::StrCat(explainPath, "?address=", formatEndpoint(question.flow.service),
        "&caller=", formatEndpoint(question.flow.caller), "&bytes=", question.bodyBytes);
    if (call.service != steering::ServiceKey())
        absl::StrAppend(&target, "&service=", formatKey(call.service), "&state=", call.state.value());
    return target;
}

absl::StatusOr<ExplainCall> parseExplainTarget(const std::string& target)
{
    ExplainCall call;
    Findings findings;
    bool hasAddress = false;
    bool hasCaller = false;
    auto readEnd = [&](const std::string& key, const std::string& value, Endpoint& end, bool& isSet) {
        std::optional<Endpoint> endpoint = parseEndpoint(value);
        if (!endpoint)
            findings.add({ explainPath, 0, key }, "must be ADDRESS:PORT with an IPv4 address");
        end = endpoint.value_or(Endpoint());
        isSet = true;
    };
    size_t query = target.find('?');
    std::string parameters = query == std::string::npos ? "" : target.substr(query + 1);
    for (const std::string& parameter : std::vector<std::string>(absl::StrSplit(parameters, '&', absl::SkipEmpty()))) {
        std::pair<std::string, std::string> item = absl::StrSplit(parameter, absl::MaxSplits('=', 1));
        const auto& [key, value] = item;
        uint64_t number = 0;
        if (key == "address") {
            readEnd(key, value, call.question.flow.service, hasAddress);
        } else if (key == "caller") {
            readEnd(key, value, call.question.flow.caller, hasCaller);
        } else if (key == "service") {
            std::optional<steering::ServiceKey> service = parseKey(value);
            if (!service)
                findings.add({ explainPath, 0, key }, "must be a hexadecimal number");
            call.service = service.value_or(steering::ServiceKey());
        } else if (key != "bytes" && key != "state") {
            findings.add({ explainPath, 0, key }, "is unknown");
        } else if (!absl::SimpleAtoi(value, &number)) {
            findings.add({ explainPath, 0, key }, "must be a whole number from 0");
        } else if (key == "bytes") {
            call.question.bodyBytes = number;
        } else {
            call.state = StateIndex(number);
        }
    }
    if (!hasAddress)
        findings.add({ explainPath, 0, "address" }, "is missing");
    if (!hasCaller)
        findings.add({ explainPath, 0, "caller" }, "is missing");
    if (!findings.empty())
        return findings.status();
    return call;
}

std::string toJson(const EntryAnswer& answer)
{
    const EntryExplanation& entry = answer.explanation;
    json object { { "role", "entry" }, { "name", answer.name }, { "control", contactJson(answer.contact) },
        { "state", entry.state.value() }, { "version", entry.version }, { "ready", entry.isReady },
        { "decision", decisionName(entry.decision) }, { "reason", entry.reason }, { "route", entry.route },
        { "service", entry.serviceName }, { "serviceKey", formatKey(entry.service) },
        { "comparesLoad", entry.shouldCompareLoad }, { "members", json::array() }, { "excluded", json::array() },
        { "excludedCount", entry.excludedCount } };
    for (const steering::ExplainedMember& member : entry.members) {
        object["members"].push_back({ { "agent", formatEndpoint(member.agent) }, { "dataCentre", member.dataCentre },
            { "targetState", targetStateName(member.state) }, { "suspected", member.isSuspected },
            { "heldEarlierFlow", member.heldEarlierFlow } });
    }
    for (const steering::ExplainedExclusion& member : entry.excluded)
        object["excluded"].push_back({ { "agent", formatEndpoint(member.agent) }, { "reason", member.reason } });
    if (entry.bulkAdmission) {
        object["bulkAdmission"] = { { "waitMs", wholeMilliseconds(entry.bulkAdmission->wait) },
            { "refusal", entry.bulkAdmission->refusal } };
    }
    return dump(object);
}

std::string toJson(const AgentAnswer& answer)
{
    const AgentExplanation& agent = answer.explanation;
    return dump({ { "role", "agent" }, { "name", answer.name }, { "control", contactJson(answer.contact) },
        { "state", agent.state.value() }, { "version", agent.version },
        { "targetState", targetStateName(agent.targetState) }, { "service", agent.service },
        { "refusal", agent.refusal }, { "outdated", agent.isOutdated }, { "mayAcceptLater", agent.mayAcceptLater },
        { "ejected", agent.isEjected }, { "trial", agent.isTrial }, { "load", agent.load },
        { "loadUnit", agent.loadUnit }, { "openFlows", agent.openFlows }, { "waitingRequests", agent.waitingRequests },
        { "hasEarlierFlow", agent.hasEarlierFlow } });
}

absl::StatusOr<EntryAnswer> parseEntryAnswer(const std::string& text) { return parse<EntryAnswer>(text, "entry"); }

absl::StatusOr<AgentAnswer> parseAgentAnswer(const std::string& text) { return parse<AgentAnswer>(text, "agent"); }

} // namespace cicadaward
