// A control group for directed tests: three instances with a network and disks that the test can block.
#pragma once

#include "cluster/codec.h"
#include "cluster/control_core.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace cicadaward::cluster {

constexpr size_t instanceCount = 3;

// A group of three initial voters. Messages and batches are queued until flush().
class ThreeInstanceGroup {
public:
    ThreeInstanceGroup()
    {
        std::map<InstanceId, InstanceAddress> initialVoters;
        for (size_t i = 0; i < instanceCount; ++i)
            initialVoters[InstanceId(i + 1)] = addressOf(i);
        for (size_t i = 0; i < instanceCount; ++i) {
            ControlOptions options;
            options.self = addressOf(i);
            options.consensus.electionTimeout = std::chrono::milliseconds(400);
            options.consensus.heartbeatInterval = std::chrono::milliseconds(50);
            options.consensus.promoteLearners = false;
            options.consensus.leaseReads = false;
            StoreBatch founding = groupBootstrapBatch(initialVoters);
            StoreContents contents;
            contents.instance = InstanceId(i + 1);
            contents.state = *founding.state;
            contents.entries = founding.entries;
            nodes[i].net = this;
            nodes[i].index = i;
            nodes[i].core = std::make_unique<ControlCore>(
                options, clock, random, contents, static_cast<ControlOutput&>(nodes[i]));
        }
        run(std::chrono::seconds(2));
    }

    static InstanceAddress addressOf(size_t i)
    {
        uint32_t address = 0x0A000001 + static_cast<uint32_t>(i);
        return { { address, 7720 }, { address, 8166 } };
    }

    void run(Duration length)
    {
        for (Time end = clock.now() + length; clock.now() < end;) {
            clock.advance(std::chrono::milliseconds(10));
            for (Node& node : nodes)
                node.core->onTick();
            flush();
        }
    }
    // Delivers messages and completes batches until none are left.
    void flush()
    {
        for (int round = 0; round < 100; ++round) {
            for (Node& node : nodes) {
                while (!node.batches.empty() && !node.isDiskBlocked) {
                    uint64_t batchNumber = node.batches.front();
                    node.batches.pop_front();
                    node.core->onPersisted(batchNumber);
                }
            }
            if (messages.empty())
                return;
            std::deque<std::tuple<Endpoint, size_t, Envelope>> moving;
            moving.swap(messages);
            for (auto& [from, to, envelope] : moving) {
                if (!isPartitioned)
                    nodes[to].core->onMessage(from, envelope);
            }
        }
    }
    size_t leader() const
    {
        for (size_t i = 0; i < instanceCount; ++i) {
            if (nodes[i].core->status().canRead)
                return i;
        }
        FAIL("no leader");
        return 0;
    }

    struct Node final : ControlOutput {
        void sendMessage(Endpoint to, const Envelope& envelope) override
        {
            size_t receiver = to.address - 0x0A000001;
            if (receiver < instanceCount)
                net->messages.emplace_back(addressOf(index).peer, receiver, envelope);
            else if (envelope.kind == MessageKind::StateNotice)
                notify(to, envelope);
            else if (envelope.kind == MessageKind::PollReply)
                replies.emplace_back(to, envelope);
        }
        void notify(Endpoint to, const Envelope& envelope)
        {
            notified.push_back(to);
            notices.emplace_back(to, envelope);
        }
        void persist(uint64_t batchNumber, const StoreBatch&) override { batches.push_back(batchNumber); }
        void answer(RequestNumber request, const Answer& given) override { answers[request] = given; }
        void onEvent(ControlEvent, const std::string&, LogIndex) override { }
        void stopped() override { }

        ThreeInstanceGroup* net = nullptr;
        size_t index = 0;
        std::unique_ptr<ControlCore> core;
        std::deque<uint64_t> batches;
        bool isDiskBlocked = false;
        std::map<RequestNumber, Answer> answers;
        std::vector<Endpoint> notified; // recipients of state notices
        std::vector<std::pair<Endpoint, Envelope>> notices; // by recipient
        std::vector<std::pair<Endpoint, Envelope>> replies; // to polls, by recipient
    };

    ManualClock clock;
    Random random { 5 };
    std::array<Node, instanceCount> nodes;
    std::deque<std::tuple<Endpoint, size_t, Envelope>> messages;
    bool isPartitioned = false;
};

inline steering::Configuration version(uint64_t number)
{
    steering::Configuration configuration;
    configuration.version = number;
    return configuration;
}

} // namespace cicadaward::cluster
