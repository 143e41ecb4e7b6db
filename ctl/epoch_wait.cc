#include "epoch_wait.h"

#include <nlohmann/json.hpp>

namespace cicadaward {

namespace detail {

    constexpr Duration pollInterval = std::chrono::milliseconds(200);

    using Json = nlohmann::json;

    bool isLeaderWithQuorum(const Json& status)
    {
        return status.is_object() && status.value("isLeader", false) && status.value("quorum", false);
    }

    EpochWait evaluate(const Json& status, uint64_t epoch)
    {
        EpochWait wait;
        if (!isLeaderWithQuorum(status)) {
            wait.unknownReason = "no instance that answers leads with a quorum";
            return wait;
        }
        wait.members = status.value("members", uint64_t(0));
        wait.behindCount = status.value("behindCount", uint64_t(0));
        wait.behind = status.value("behind", std::vector<std::string>());
        Json directory = status.value("directory", Json::object());
        if (directory.value("term", uint64_t(0)) != status.value("term", uint64_t(1)))
            wait.unknownReason = "the leader is new and has not published a directory yet";
        else if (status.value("epoch", uint64_t(0)) < epoch)
            wait.unknownReason = "the leader has not applied the epoch yet";
        else
            wait.done = wait.behindCount == 0;
        return wait;
    }

} // namespace detail

bool isLeaderStatus(const AdminResponse& response)
{
    return response.status == 200 && detail::isLeaderWithQuorum(detail::Json::parse(response.body, nullptr, false));
}

const AdminResponse* findLeaderStatus(const std::vector<AdminResponse>& responses)
{
    const AdminResponse* found = nullptr;
    std::pair<uint64_t, uint64_t> foundRank; // term of a leader, epoch
    for (const AdminResponse& response : responses) {
        if (response.status != 200)
            continue;
        detail::Json status = detail::Json::parse(response.body, nullptr, false);
        if (!status.is_object())
            continue;
        uint64_t term = detail::isLeaderWithQuorum(status) ? status.value("term", uint64_t(0)) : 0;
        std::pair<uint64_t, uint64_t> rank { term, status.value("epoch", uint64_t(0)) };
        if (!found || rank > foundRank) {
            found = &response;
            foundRank = rank;
        }
    }
    return found;
}

EpochWait waitForEpoch(AdminClient& client, uint64_t epoch)
{
    EpochWait wait;
    do {
        std::vector<AdminResponse> responses = client.callAll("/v1/status");
        const AdminResponse* leader = findLeaderStatus(responses);
        wait = detail::evaluate(leader ? detail::Json::parse(leader->body, nullptr, false) : detail::Json(), epoch);
        if (wait.done)
            return wait;
    } while (client.pause(detail::pollInterval));
    return wait;
}

} // namespace cicadaward
