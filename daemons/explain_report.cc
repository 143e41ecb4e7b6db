#include "explain_report.h"

#include "flow_daemon.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>

namespace cicadaward {

namespace {

    using nlohmann::json;
    using steering::AgentExplanation;
    using steering::Decision;
    using steering::EntryExplanation;
    using steering::OfferAction;
    using steering::PlacementExplanation;
    using steering::PlacementStep;

    // What the agent says about the flow, apart from its load.
    std::string verdictText(const AgentExplanation& agent)
    {
        if (agent.isOutdated)
            return "denies: its newer state gives the flow to another service";
        if (!agent.refusal.empty())
            return "refuses: " + agent.refusal + (agent.mayAcceptLater ? " (may accept later)" : "");
        std::string text = "may take it";
        if (agent.isEjected)
            text = "ejected: takes it only as the last resort";
        else if (agent.isTrial)
            text = "half-open: takes it as a trial";
        return text + (agent.hasEarlierFlow ? ", beside an earlier flow between the same ends" : "");
    }

    const char* actionName(OfferAction action)
    {
        switch (action) {
        case OfferAction::Accept:
            return "accepts";
        case OfferAction::Compare:
            return "asks the next to compare loads";
        case OfferAction::PassOn:
            return "passes on";
        case OfferAction::Deny:
            break;
        }
        return "denies";
    }

    // How long the SYN would wait at the entry first.
    std::string waitText(const EntryExplanation& entry)
    {
        if (!entry.bulkAdmission || entry.bulkAdmission->wait == Duration::zero())
            return "";
        return " after a wait of " + std::to_string(wholeMilliseconds(entry.bulkAdmission->wait)) + " ms";
    }

    std::string resultText(const ExplainReport& report)
    {
        const PlacementExplanation& placement = report.placement;
        if (report.hasNoAgentAnswer())
            return "not known, because no agent answered";
        const char* certainty = placement.isCertain ? "" : ", unless a member without an answer takes it";
        switch (placement.decision) {
        case Decision::Accepted:
            return formatEndpoint(placement.member) + " would take the flow" + waitText(report.entry.explanation)
                + certainty;
        case Decision::Outdated:
            return "not placed: an agent has a newer state; the entry would request it and offer the flow again";
        case Decision::Refused:
            return "refused with a reset: " + placement.reason + certainty;
        default:
            return "not offered, the SYN is dropped: " + placement.reason + certainty;
        }
    }

    void printContact(const ControlContact& contact, uint64_t state, const char* indent, std::ostream& out)
    {
        if (contact.heardState > state)
            out << indent << "behind: has heard of state " << contact.heardState << ", without progress for "
                << contact.behindMs << " ms\n";
        if (!contact.isInContact)
            out << indent << "no contact with the control instances: last reply " << contact.lastReplyMs << " ms ago\n";
    }

    void printEntry(const ExplainReport& report, std::ostream& out)
    {
        const EntryExplanation& entry = report.entry.explanation;
        const steering::FlowId& flow = report.question.flow;
        out << "flow " << formatEndpoint(flow.caller) << " -> " << formatEndpoint(flow.service) << ", body of "
            << report.question.bodyBytes << " bytes\n"
            << "entry " << formatEndpoint(report.entryEndpoint) << " (" << report.entry.name << "): state "
            << entry.state.value() << ", version " << entry.version << (entry.isReady ? "" : ", not ready") << "\n";
        printContact(report.entry.contact, entry.state.value(), "  ", out);
        if (!entry.route.empty())
            out << "  route " << entry.route << ", service " << entry.serviceName << "\n";
        if (!entry.bulkAdmission)
            return;
        if (!entry.bulkAdmission->refusal.empty())
            out << "  bulk admission refuses: " << entry.bulkAdmission->refusal << "\n";
        else if (entry.bulkAdmission->wait > Duration::zero())
            out << "  bulk admission: waits for " << wholeMilliseconds(entry.bulkAdmission->wait) << " ms\n";
        else
            out << "  bulk admission: does not wait\n";
    }

    void printAgent(const AgentReply& reply, StateIndex entryState, std::ostream& out)
    {
        if (!reply.failure.empty()) {
            out << "     no answer: " << reply.failure << "\n";
            return;
        }
        const AgentExplanation& agent = reply.answer.explanation;
        out << "     load " << agent.load << " " << agent.loadUnit << " (" << wholeMilliseconds(reply.age)
            << " ms old), " << agent.openFlows << " open flows, " << agent.waitingRequests << " waiting requests\n"
            << "     " << verdictText(agent) << "\n";
        if (agent.state != entryState)
            out << "     its state is " << agent.state.value() << ", version " << agent.version << "\n";
        printContact(reply.answer.contact, agent.state.value(), "     ", out);
    }

    void printMembers(const ExplainReport& report, std::ostream& out)
    {
        const EntryExplanation& entry = report.entry.explanation;
        if (!entry.members.empty())
            out << "members in the order of the offer\n";
        size_t position = 0;
        for (const steering::ExplainedMember& member : entry.members) {
            out << std::setw(3) << ++position << "  " << formatEndpoint(member.agent) << "  " << member.dataCentre
                << "  " << targetStateName(member.state) << (member.isSuspected ? ", suspected: comes last" : "")
                << (member.heldEarlierFlow ? ", had an earlier flow between the same ends: comes first" : "") << "\n";
            if (auto found = report.agents.find(member.agent); found != report.agents.end())
                printAgent(found->second, entry.state, out);
        }
        if (!entry.excluded.empty())
            out << "excluded\n";
        for (const steering::ExplainedExclusion& member : entry.excluded)
            out << "  -  " << formatEndpoint(member.agent) << "  " << member.reason << "\n";
        if (entry.excludedCount > entry.excluded.size())
            out << "     and " << entry.excludedCount - entry.excluded.size() << " further\n";
    }

    json placementJson(const PlacementExplanation& placement)
    {
        json steps = json::array();
        for (const PlacementStep& step : placement.steps) {
            steps.push_back({ { "member", formatEndpoint(step.member) }, { "answered", step.isAnswered },
                { "action", actionName(step.action) }, { "reason", step.reason } });
        }
        json result { { "decision", decisionName(placement.decision) }, { "reason", placement.reason },
            { "certain", placement.isCertain }, { "steps", steps } };
        if (placement.decision == Decision::Accepted)
            result["member"] = formatEndpoint(placement.member);
        return result;
    }

} // namespace

bool ExplainReport::hasNoAgentAnswer() const
{
    return !placement.steps.empty()
        && std::all_of(agents.begin(), agents.end(), [](const auto& agent) { return !agent.second.failure.empty(); });
}

void printText(const ExplainReport& report, std::ostream& out)
{
    printEntry(report, out);
    printMembers(report, out);
    if (!report.placement.steps.empty())
        out << "way of the offer\n";
    for (const PlacementStep& step : report.placement.steps) {
        out << "  -> " << formatEndpoint(step.member) << "  " << (step.isAnswered ? actionName(step.action) : "skipped")
            << (step.reason.empty() || step.action == OfferAction::Compare ? "" : ": " + step.reason) << "\n";
    }
    out << "result: " << resultText(report) << "\n";
}

void printJson(const ExplainReport& report, std::ostream& out)
{
    const steering::FlowId& flow = report.question.flow;
    json object { { "caller", formatEndpoint(flow.caller) }, { "address", formatEndpoint(flow.service) },
        { "bytes", report.question.bodyBytes }, { "entry", json::parse(report.entryJson) }, { "agents", json::array() },
        { "placement", placementJson(report.placement) } };
    object["entry"]["endpoint"] = formatEndpoint(report.entryEndpoint);
    for (const steering::ExplainedMember& member : report.entry.explanation.members) {
        auto found = report.agents.find(member.agent);
        if (found == report.agents.end())
            continue;
        const AgentReply& reply = found->second;
        json agent { { "member", formatEndpoint(member.agent) } };
        if (reply.failure.empty()) {
            agent["answer"] = json::parse(reply.json);
            agent["ageMs"] = wholeMilliseconds(reply.age);
        } else {
            agent["noAnswer"] = reply.failure;
        }
        object["agents"].push_back(agent);
    }
    out << object.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
}

} // namespace cicadaward
