// Directed tests of the way of a state from a control group to a process that polls it.
#include "cluster/message_transport.h"
#include "cluster/poller.h"
#include "cluster/three_instance_group.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::cluster;
using namespace std::chrono_literals;

namespace {

// A process that polls the group. Its messages travel as datagrams, of which the test loses some.
class PollingProcess final : private PollerOutput {
public:
    explicit PollingProcess(ThreeInstanceGroup& group)
        : m_group(group)
        , m_transport(group.clock, 1, sendTo(m_self))
        , m_poller(options(), group.clock, group.random, *this)
    {
        for (size_t i = 0; i < instanceCount; ++i) {
            m_controlTransports[i]
                = std::make_unique<MessageTransport>(group.clock, 1, sendTo(ThreeInstanceGroup::addressOf(i).peer));
        }
        m_poller.pollAll();
    }

    void run(Duration length)
    {
        for (Time end = m_group.clock.now() + length; m_group.clock.now() < end;) {
            m_group.run(10ms);
            exchange();
            m_poller.onTick();
            m_transport.onTick();
            for (auto& transport : m_controlTransports)
                transport->onTick();
            exchange();
        }
    }
    LogIndex stateIndex() const { return m_poller.stateIndex(); }

    // Whether the datagram is lost: its number since the start, and its index in its message, 0 for a request.
    std::function<bool(size_t number, size_t index)> loses = [](size_t, size_t) { return false; };
    size_t datagrams = 0;
    steering::Configuration configuration; // in force in the process

private:
    static PollerOptions options()
    {
        PollerOptions options;
        for (size_t i = 0; i < instanceCount; ++i)
            options.seeds.push_back(ThreeInstanceGroup::addressOf(i).peer);
        return options;
    }
    void sendMessage(Endpoint control, const Envelope& envelope) override { m_sent.emplace_back(control, envelope); }
    void contactLost() override { }
    void contactRenewed() override { }
    void onState(const ForwardingState& state) override
    {
        CHECK(state.configuration.version >= configuration.version);
        configuration = state.configuration;
    }

    MessageTransport::SendDatagram sendTo(Endpoint from)
    {
        return [this, from](Endpoint to, const std::string& datagram) { m_datagrams.emplace_back(from, to, datagram); };
    }
    void exchange()
    {
        do {
            std::vector<std::pair<Endpoint, Envelope>> sent = std::move(m_sent);
            m_sent.clear();
            for (const auto& [to, envelope] : sent)
                CHECK(m_transport.send(to, encodeMessage(envelope)).ok());
            for (auto& node : m_group.nodes) {
                for (auto* queue : { &node.notices, &node.replies })
                    sendQueue(*queue, *m_controlTransports[node.index]);
            }
            deliverDatagrams();
        } while (!m_sent.empty() || !m_datagrams.empty());
    }
    void sendQueue(std::vector<std::pair<Endpoint, Envelope>>& queue, MessageTransport& transport)
    {
        std::vector<std::pair<Endpoint, Envelope>> sent = std::move(queue);
        queue.clear();
        for (const auto& [to, envelope] : sent) {
            if (to == m_self)
                CHECK(transport.send(to, encodeMessage(envelope)).ok());
        }
    }
    void deliverDatagrams()
    {
        std::deque<std::tuple<Endpoint, Endpoint, std::string>> moving;
        moving.swap(m_datagrams);
        for (const auto& [from, to, datagram] : moving) {
            const auto* data = reinterpret_cast<const uint8_t*>(datagram.data());
            size_t index = (data[7] << 8) | data[8];
            if (loses(datagrams++, index))
                continue;
            size_t control = to.address - ThreeInstanceGroup::addressOf(0).peer.address;
            MessageTransport& receiver = to == m_self ? m_transport : *m_controlTransports[control];
            std::optional<std::string> message = receiver.onDatagram(from, data, datagram.size());
            Envelope envelope;
            if (!message || !decodeMessage(*message, envelope))
                continue;
            if (to == m_self)
                m_poller.onMessage(from, envelope);
            else
                m_group.nodes[control].core->onMessage(m_self, envelope);
        }
    }

    const Endpoint m_self { 0x0A030001, 7721 };
    ThreeInstanceGroup& m_group;
    MessageTransport m_transport;
    std::array<std::unique_ptr<MessageTransport>, instanceCount> m_controlTransports;
    std::deque<std::tuple<Endpoint, Endpoint, std::string>> m_datagrams; // sender, receiver
    std::vector<std::pair<Endpoint, Envelope>> m_sent;
    Poller m_poller;
};

constexpr Duration applyLimit = 3s;

} // namespace

// Guards against a process that never catches up: the differences that it had missed were larger than the largest
// message, and it asked for the same ones again at each poll.
TEST_CASE("control: a process that missed many large changes arrives at the newest state", "[core]")
{
    constexpr uint64_t changes = 120;
    constexpr uint32_t routes = 1500;
    ThreeInstanceGroup group;
    auto& leader = group.nodes[group.leader()];
    leader.core->putConfiguration(1, largeConfiguration(1, routes), "text");
    PollingProcess process(group);
    process.run(1s);
    REQUIRE(process.stateIndex() == leader.core->state().index());
    for (uint64_t number = 2; number <= changes; ++number) {
        leader.core->putConfiguration(number, largeConfiguration(number, routes), "text");
        group.run(30ms);
    }
    process.run(applyLimit);
    CHECK(process.stateIndex() == leader.core->state().index());
    CHECK(process.configuration.version == changes);
    CHECK(process.configuration.routes.size() == routes);
}

// Guards against a state that can't arrive: a receiver that is busy keeps the first datagrams of a burst and the kernel
// drops the rest, as often as the burst is sent again.
TEST_CASE("control: a state of any size arrives where a receive buffer keeps few datagrams", "[core]")
{
    constexpr size_t keptDatagrams = 60;
    constexpr uint32_t routes = 9000;
    ThreeInstanceGroup group;
    auto& leader = group.nodes[group.leader()];
    leader.core->putConfiguration(1, largeConfiguration(1, routes), "text");
    group.run(200ms);
    PollingProcess process(group);
    process.loses = [&](size_t, size_t index) { return index >= keptDatagrams; };
    process.run(applyLimit);
    CHECK(process.configuration.routes.size() == routes);
    leader.core->putConfiguration(2, largeConfiguration(2, routes), "text");
    process.run(applyLimit);
    CHECK(process.configuration.version == 2);
}

// Guards against a change that is late by a poll interval, which is up to 12 s: a poll that was sent because of a
// notice was not repeated.
TEST_CASE("control: a change is in force in time whichever datagram is lost", "[core]")
{
    for (uint32_t routes : { 3u, 3000u }) {
        INFO(routes << " routes");
        ThreeInstanceGroup group;
        for (auto& node : group.nodes) {
            for (uint32_t i = 0; i < 3000; ++i) // makes the poll interval long
                node.core->onMessage({ 0x0B000000 + i, 7721 }, { MessageKind::Poll, encodeMessage(Poll()) });
        }
        PollingProcess process(group);
        auto& leader = group.nodes[group.leader()];
        leader.core->putConfiguration(1, largeConfiguration(1, routes), "text");
        process.run(2s);
        REQUIRE(process.configuration.version == 1);
        uint64_t number = 1;
        for (size_t lost = 0;; ++lost) {
            process.datagrams = 0;
            process.loses = [&](size_t datagram, size_t) { return datagram == lost; };
            ++number;
            leader.core->putConfiguration(number, largeConfiguration(number, routes), "text");
            process.run(applyLimit);
            INFO("lost datagram " << lost);
            REQUIRE(process.configuration.version == number);
            if (process.datagrams <= lost)
                break;
        }
    }
}

// Guards against a state that practically never arrives: one lost datagram lost a whole part of it, and after half a
// second without a part the transfer began anew at another instance.
TEST_CASE("control: a large state arrives in time over a link that loses packets", "[core]")
{
    constexpr uint32_t routes = 3000;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        ThreeInstanceGroup group;
        auto& leader = group.nodes[group.leader()];
        leader.core->putConfiguration(1, largeConfiguration(1, routes), "text");
        group.run(200ms);
        PollingProcess process(group);
        process.loses = [&random](size_t, size_t) { return random.unit() < 0.1; };
        process.run(applyLimit);
        CHECK(process.configuration.version == 1);
        leader.core->putConfiguration(2, largeConfiguration(2, routes), "text");
        process.run(applyLimit);
        CHECK(process.configuration.version == 2);
    }
}

// Guards against a state that stays old or damaged after a mixture of losses, pauses and quick changes.
TEST_CASE("control: after losses and pauses a process has exactly the newest state", "[core]")
{
    auto byAddress = [](const steering::Route& a, const steering::Route& b) { return a.address < b.address; };
    for (uint64_t seed = 1; seed <= 12; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        ThreeInstanceGroup group;
        PollingProcess process(group);
        auto& leader = group.nodes[group.leader()];
        uint64_t number = 0;
        for (int round = 0; round < 8; ++round) {
            double loss = 0.3 * random.unit();
            process.loses = [&random, loss](size_t, size_t) { return random.unit() < loss; };
            auto routes = static_cast<uint32_t>(uint64_t { 3 } << random.below(11));
            for (uint64_t changes = 1 + random.below(5); changes > 0; --changes) {
                ++number;
                leader.core->putConfiguration(number, largeConfiguration(number, routes), "text");
                if (random.below(2))
                    process.run(30ms);
                else
                    group.run(30ms);
            }
        }
        process.loses = [](size_t, size_t) { return false; };
        process.run(applyLimit);
        CHECK(process.stateIndex() == leader.core->state().index());
        steering::Configuration expected = leader.core->state().routes().configuration();
        for (auto* configuration : { &expected, &process.configuration })
            std::sort(configuration->routes.begin(), configuration->routes.end(), byAddress);
        CHECK(encodeMessage(process.configuration) == encodeMessage(expected));
    }
}
