// A control group for directed tests: three instances with a network and disks that the test can block.
#pragma once

#include "cluster/codec.h"
#include "cluster/control_core.h"
#include "cluster/message_transport.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace cicadaward::cluster {

constexpr size_t instanceCount = 3;

// A group of three initial voters. Messages and batches are queued until flush(). With losesDatagram, the messages
// between the instances travel as datagrams.
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
            nodes[i].transport = std::make_unique<MessageTransport>(clock, static_cast<uint32_t>(1000 * i),
                [this, i](Endpoint to, const std::string& datagram) { datagrams.emplace_back(i, to, datagram); });
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
            for (Node& node : nodes) {
                node.core->onTick();
                node.transport->onTick();
            }
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
            if (messages.empty() && datagrams.empty())
                return;
            std::deque<std::tuple<size_t, size_t, Envelope>> moving;
            moving.swap(messages);
            for (auto& [from, to, envelope] : moving) {
                if (losesDatagram)
                    CHECK(nodes[from].transport->send(addressOf(to).peer, encodeMessage(envelope)).ok());
                else if (!isPartitioned)
                    nodes[to].core->onMessage(addressOf(from).peer, envelope);
            }
            deliverDatagrams();
        }
    }
    void deliverDatagrams()
    {
        std::deque<std::tuple<size_t, Endpoint, std::string>> moving;
        moving.swap(datagrams);
        for (const auto& [from, to, datagram] : moving) {
            if (isPartitioned || losesDatagram())
                continue;
            Node& receiver = nodes[to.address - addressOf(0).peer.address];
            Endpoint sender = addressOf(from).peer;
            std::optional<std::string> message = receiver.transport->onDatagram(
                sender, reinterpret_cast<const uint8_t*>(datagram.data()), datagram.size());
            Envelope envelope;
            if (message && decodeMessage(*message, envelope))
                receiver.core->onMessage(sender, envelope);
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
                net->messages.emplace_back(index, receiver, envelope);
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
        std::unique_ptr<MessageTransport> transport;
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
    std::deque<std::tuple<size_t, size_t, Envelope>> messages; // sender and receiver by index
    std::deque<std::tuple<size_t, Endpoint, std::string>> datagrams;
    bool isPartitioned = false;
    std::function<bool()> losesDatagram;
};

inline steering::Configuration version(uint64_t number)
{
    steering::Configuration configuration;
    configuration.version = number;
    return configuration;
}

// Routes with names as on the platform; each version gives all of them another timeout.
inline steering::Configuration largeConfiguration(uint64_t number, uint32_t routes)
{
    Random random(7);
    steering::Configuration configuration = version(number);
    for (uint32_t i = 0; i < routes; ++i) {
        steering::Route route;
        route.name = "r-" + std::to_string(random.next() % 10000000);
        route.address = { 0xC6120001 + i, 8443 };
        route.services = { { steering::serviceKey("hub"), 1 } };
        route.timeout = std::chrono::milliseconds(2000 + number);
        configuration.routes.push_back(route);
    }
    return configuration;
}

} // namespace cicadaward::cluster
