#include "cluster/message_transport.h"

#include "cluster/test_values.h"
#include "core/random.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::cluster;
using namespace std::chrono_literals;

namespace {

// Two processes with a link in each direction, on which the test loses datagrams.
class Link {
public:
    Link()
        : m_sender(clock, 1, [this](Endpoint, const std::string& datagram) { forth.push_back(datagram); })
        , m_receiver(clock, 1, [this](Endpoint, const std::string& datagram) { back.push_back(datagram); })
    {
    }
    void send(const std::string& message) { REQUIRE(m_sender.send(peerB, message).ok()); }
    // Delivers until no datagram is under way; one that is lost counts as delivered.
    void exchange()
    {
        while (!forth.empty() || !back.empty()) {
            deliver(forth, m_receiver, peerA);
            deliver(back, m_sender, peerB);
        }
    }
    void run(Duration length)
    {
        for (Time end = clock.now() + length; clock.now() < end;) {
            exchange();
            clock.advance(10ms);
            m_receiver.onTick();
        }
    }
    const MessageTransport& sender() const { return m_sender; }
    const MessageTransport& receiver() const { return m_receiver; }

    ManualClock clock;
    std::function<bool()> loses = [] { return false; };
    std::vector<std::string> forth;
    std::vector<std::string> back;
    std::vector<std::string> received;

private:
    void deliver(std::vector<std::string>& datagrams, MessageTransport& to, Endpoint from)
    {
        std::vector<std::string> moving = std::move(datagrams);
        datagrams.clear();
        for (const std::string& datagram : moving) {
            if (loses())
                continue;
            const auto* data = reinterpret_cast<const uint8_t*>(datagram.data());
            if (std::optional<std::string> message = to.onDatagram(from, data, datagram.size()))
                received.push_back(*message);
        }
    }

    MessageTransport m_sender;
    MessageTransport m_receiver;
};

std::string randomMessage(Random& random, size_t size)
{
    std::string message(size, '\0');
    for (char& byte : message)
        byte = static_cast<char>(random.next());
    return message;
}

} // namespace

TEST_CASE("a large message arrives once over a link that loses packets", "[transport]")
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        Link link;
        std::string message = randomMessage(random, 130000);
        link.loses = [&random] { return random.unit() < 0.2; };
        link.send(message);
        link.run(2s);
        CHECK(link.received == std::vector<std::string> { message });
        CHECK(link.sender().counters().fragmentsResent < 100); // fewer than the message has
        CHECK_FALSE(link.receiver().nextTick());
    }
}

TEST_CASE("no fragment is asked for when all arrive in time, also in another order and twice", "[transport]")
{
    Random random(1);
    Link link;
    std::string message = randomMessage(random, 20000);
    link.send(message);
    std::vector<std::string> datagrams = link.forth;
    std::reverse(link.forth.begin(), link.forth.end());
    link.run(10ms);
    link.forth = datagrams; // copies
    link.run(3s);
    CHECK(link.received == std::vector<std::string> { message });
    CHECK(link.receiver().counters().fragmentsRequested == 0);
}

// Guards against a message that can't arrive: a receive buffer keeps the first datagrams of a burst, here 60.
TEST_CASE("a message of many datagrams arrives through a small receive buffer", "[transport]")
{
    Random random(2);
    Link link;
    std::string message = randomMessage(random, 1 << 20);
    link.send(message);
    for (int burst = 0; burst < 100 && link.received.empty(); ++burst) {
        link.forth.resize(std::min<size_t>(link.forth.size(), 60));
        link.run(10ms);
    }
    CHECK(link.received == std::vector<std::string> { message });
}

TEST_CASE("requests for a message that its sender has dropped end with the message", "[transport]")
{
    Random random(3);
    Link link;
    link.send(randomMessage(random, 20000));
    link.forth.resize(1);
    link.exchange();
    size_t requests = 0;
    link.loses = [&requests] {
        ++requests;
        return true;
    };
    link.run(5s);
    CHECK(requests > 2);
    CHECK(requests < 10);
    CHECK(link.receiver().failures().incomplete == 1);
    CHECK_FALSE(link.receiver().nextTick());
}

TEST_CASE("only the process to which a message was sent gets fragments of it again", "[transport]")
{
    Random random(4);
    ManualClock clock;
    std::vector<std::string> sent;
    MessageTransport transport(clock, 7, [&](Endpoint, const std::string& datagram) { sent.push_back(datagram); });
    REQUIRE(transport.send(peerA, randomMessage(random, 5000)).ok());
    size_t before = sent.size();
    auto ask = [&](Endpoint sender, const FragmentRequest& request) {
        std::string bytes = request.encode();
        transport.onDatagram(sender, reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
        return sent.size() - before;
    };
    CHECK(ask(peerB, { 8, { 0 } }) == 0);
    CHECK(ask(peerA, { 7, { 0 } }) == 0);
    CHECK(ask(peerA, { 8, { 60000 } }) == 0);
    CHECK(ask(peerA, { 8, { 0, 3 } }) == 2);
    CHECK(sent.back() == sent.at(3));
    clock.advance(3s);
    REQUIRE(transport.send(peerA, "small").ok()); // drops what is older than the timeout
    before = sent.size();
    CHECK(ask(peerA, { 8, { 0 } }) == 0);
}
