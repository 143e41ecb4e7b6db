#include "auth/authenticator.h"
#include "auth/replay_window.h"
#include "core/random.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <openssl/evp.h>
#include <set>
#include <sys/stat.h>
#include <thread>

using namespace cicadaward;

namespace {

const std::string hexA = "000102030405060708090a0b0c0d0e0f";
const std::string hexB = "ffeeddccbbaa99887766554433221100";

KeyRing keysOf(const std::string& text)
{
    Findings findings;
    KeyRing keys = parseKeys("keys", text, findings);
    INFO(findings.report());
    REQUIRE(findings.empty());
    return keys;
}

} // namespace

TEST_CASE("OpenSSL's SipHash-128 matches the vectors of the published reference", "[auth]")
{
    // Guards against a provider whose default output size is 8 bytes. Key 00..0f, input empty and 00.
    const AuthKey key = keysOf("1 " + hexA).front();
    const std::vector<std::vector<uint8_t>> expected {
        { 0xa3, 0x81, 0x7f, 0x04, 0xba, 0x25, 0xa8, 0xe6, 0x6d, 0xf6, 0x72, 0x14, 0xc7, 0x55, 0x02, 0x93 },
        { 0xda, 0x87, 0xc1, 0xd8, 0x6b, 0x99, 0xaf, 0x44, 0x34, 0x76, 0x59, 0x11, 0x9b, 0x22, 0xfc, 0x45 },
    };
    EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
    EVP_MAC_CTX* context = EVP_MAC_CTX_new(algorithm);
    for (size_t size = 0; size < expected.size(); ++size) {
        const uint8_t input = 0;
        std::vector<uint8_t> out(16);
        size_t written = 0;
        CHECK(EVP_MAC_init(context, key.bytes.data(), authKeyBytes, nullptr) == 1);
        CHECK(EVP_MAC_update(context, &input, size) == 1);
        CHECK(EVP_MAC_final(context, out.data(), &written, out.size()) == 1);
        CHECK(out == expected[size]);
    }
    EVP_MAC_CTX_free(context);
    EVP_MAC_free(algorithm);
}

TEST_CASE("a sealed message opens, and any changed bit is refused", "[auth]")
{
    const KeyStore keys(keysOf("7 " + hexA));
    Authenticator sender(keys);
    Authenticator receiver(keys);
    std::string message = "payload";
    REQUIRE(sender.seal(message, MessagePurpose::Packet, 0x0102030405060708));
    REQUIRE(message.size() == 7 + sealTrailerBytes);
    for (size_t bit = 0; bit < message.size() * 8; ++bit) {
        std::string changed = message;
        changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ (1 << bit % 8));
        CHECK(receiver.open(changed, MessagePurpose::Packet).status != OpenStatus::Valid);
    }
    for (size_t size = 0; size < message.size(); ++size) {
        std::string cut = message.substr(0, size);
        CHECK(receiver.open(cut, MessagePurpose::Packet).status != OpenStatus::Valid);
    }
    CHECK(receiver.open(message, MessagePurpose::ControlRequest).status == OpenStatus::WrongHash);
    const OpenResult opened = receiver.open(message, MessagePurpose::Packet);
    CHECK(opened.status == OpenStatus::Valid);
    CHECK(opened.keyId == 7);
    CHECK(opened.sequence == 0x0102030405060708);
    CHECK(message == "payload");

    std::string empty;
    REQUIRE(sender.seal(empty, MessagePurpose::Packet, 0));
    CHECK(receiver.open(empty, MessagePurpose::Packet).status == OpenStatus::Valid);
    const KeyStore none { {} };
    Authenticator without(none);
    CHECK_FALSE(without.seal(empty, MessagePurpose::Packet, 0));
}

TEST_CASE("no message is refused while keys are rotated one process at a time", "[auth]")
{
    // Three processes take each step in a random order; all pairs talk after every single step.
    const std::vector<std::string> steps { "1 " + hexA, "1 " + hexA + "\n2 " + hexB, "2 " + hexB + "\n1 " + hexA,
        "2 " + hexB };
    const uint64_t seed = 3;
    INFO("seed " << seed);
    Random random(seed);
    std::vector<std::unique_ptr<KeyStore>> sources;
    std::vector<std::unique_ptr<Authenticator>> processes;
    for (int i = 0; i < 3; ++i) {
        sources.push_back(std::make_unique<KeyStore>(keysOf(steps[0])));
        processes.push_back(std::make_unique<Authenticator>(*sources.back()));
    }
    for (size_t step = 1; step < steps.size(); ++step) {
        std::set<size_t> done;
        while (done.size() < processes.size()) {
            const size_t next = random.below(processes.size());
            done.insert(next);
            sources[next]->replace(keysOf(steps[step]));
            for (auto& from : processes) {
                for (auto& to : processes) {
                    std::string message = "m";
                    REQUIRE(from->seal(message, MessagePurpose::PeerMessage, 1));
                    CHECK(to->open(message, MessagePurpose::PeerMessage).status == OpenStatus::Valid);
                }
            }
        }
    }
    const KeyStore former(keysOf(steps[0]));
    Authenticator left(former);
    std::string message = "m";
    REQUIRE(left.seal(message, MessagePurpose::PeerMessage, 1));
    CHECK(processes[0]->open(message, MessagePurpose::PeerMessage).status == OpenStatus::UnknownKey);
}

TEST_CASE("threads use replaced keys at once and never a mixture", "[auth]")
{
    // Guards against a thread that keeps or tears the keys while another one replaces them.
    const KeyRing oneFirst = keysOf("1 " + hexA + "\n2 " + hexB);
    const KeyRing twoFirst = keysOf("2 " + hexB + "\n1 " + hexA);
    KeyStore keys(oneFirst);
    std::atomic<bool> stop { false };
    std::atomic<size_t> refused { 0 };
    std::vector<std::thread> threads;
    threads.reserve(3);
    for (int i = 0; i < 3; ++i) {
        threads.emplace_back([&] {
            Authenticator authenticator(keys);
            uint64_t valid = 0;
            while (!stop) {
                std::string message = "m";
                authenticator.seal(message, MessagePurpose::PeerMessage, ++valid);
                if (authenticator.open(message, MessagePurpose::PeerMessage).status != OpenStatus::Valid)
                    ++refused;
            }
            if (authenticator.openedMessageCount(1) + authenticator.openedMessageCount(2) != valid)
                ++refused;
        });
    }
    for (int i = 0; i < 2000; ++i)
        keys.replace(i % 2 == 0 ? twoFirst : oneFirst);
    stop = true;
    for (std::thread& thread : threads)
        thread.join();
    CHECK(refused == 0);
    Authenticator authenticator(keys);
    for (const auto& [ring, id] : { std::pair { oneFirst, 1 }, std::pair { twoFirst, 2 } }) {
        keys.replace(ring);
        std::string message = "m";
        authenticator.seal(message, MessagePurpose::PeerMessage, 1);
        CHECK(authenticator.open(message, MessagePurpose::PeerMessage).keyId == id);
    }
}

TEST_CASE("a faulty key file leaves the former keys in force", "[auth]")
{
    const std::string twice = "2 " + hexB + "\n2 " + hexA;
    const std::string path = "auth_test_reload";
    KeyStore keys(keysOf("1 " + hexA));
    Authenticator authenticator(keys);
    for (const auto& [text, mode, id] : std::vector<std::tuple<std::string, mode_t, int>> {
             { "", 0600, 1 }, { "2 " + hexB, 0644, 1 }, { twice, 0600, 1 }, { "2 " + hexB, 0600, 2 } }) {
        std::ofstream(path) << text;
        REQUIRE(::chmod(path.c_str(), mode) == 0);
        Findings findings;
        CHECK(reloadKeys(path, keys, findings) == (id == 2));
        CHECK(findings.empty() == (id == 2));
        std::string message = "m";
        authenticator.seal(message, MessagePurpose::PeerMessage, 1);
        CHECK(authenticator.open(message, MessagePurpose::PeerMessage).keyId == id);
    }
}

TEST_CASE("faults of a key file are findings without key bytes", "[auth]")
{
    const std::vector<std::pair<std::string, std::string>> cases {
        { "# none\n\n", "keys: contains no key\n" },
        { "0 " + hexA, "keys:1: the key id must be a number from 1 to 255\n" },
        { "256 " + hexA, "keys:1: the key id must be a number from 1 to 255\n" },
        { "-1 " + hexA, "keys:1: the key id must be a number from 1 to 255\n" },
        { "1", "keys:1: a key must be written as 32 hexadecimal digits\n" },
        { "1 " + hexA + "0", "keys:1: a key must be written as 32 hexadecimal digits\n" },
        { "1 g" + hexA.substr(1), "keys:1: a key must be written as 32 hexadecimal digits\n" },
        { "1 " + hexA + " x", "keys:1: nothing may follow the key\n" },
        { "1 " + std::string(32, '0'), "keys:1: a key must not be all zero\n" },
        { "1 " + hexA + "\n1 " + hexB, "keys:2: key id 1 occurs twice\n" },
        { "1 " + hexA + "\n2 " + hexB + "\n3 " + hexB, "keys:3: there may be at most 2 keys\n" },
    };
    for (const auto& [text, report] : cases) {
        Findings findings;
        parseKeys("keys", text, findings);
        CHECK(findings.report() == report);
    }
}

TEST_CASE("a key file that others may access is refused", "[auth]")
{
    const std::string path = "auth_test_keys";
    std::ofstream(path) << "1 " << hexA << "\r\n";
    for (const auto& [mode, accepted] : std::vector<std::pair<mode_t, bool>> {
             { 0600, true }, { 0400, true }, { 0640, true }, { 0644, false }, { 0602, false }, { 0660, false } }) {
        REQUIRE(::chmod(path.c_str(), mode) == 0);
        Findings findings;
        const KeyRing keys = loadKeys(path, findings);
        INFO(std::oct << mode);
        CHECK(findings.empty() == accepted);
        CHECK(keys.size() == 1);
    }
    for (const char* missing : { "no/such/file", "." }) {
        Findings findings;
        CHECK(loadKeys(missing, findings).empty());
        CHECK_FALSE(findings.empty());
    }
}

TEST_CASE("the replay window agrees with a set of all numbers seen", "[auth]")
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        ReplayWindow window;
        std::set<uint64_t> seen;
        uint64_t base = seed % 2 == 0 ? 0 : UINT64_MAX - 5000;
        for (int i = 0; i < 1000; ++i) {
            base += random.below(5);
            const uint64_t sequence = base - std::min(base, random.below(90));
            const bool old = !seen.empty() && *seen.rbegin() >= 64 && sequence <= *seen.rbegin() - 64;
            const bool fresh = !old && seen.count(sequence) == 0;
            REQUIRE(window.accept(sequence) == fresh);
            if (fresh)
                seen.insert(sequence);
        }
    }
}

TEST_CASE("a restarted sender is accepted and the table of senders is bounded", "[auth]")
{
    ReplayGuard guard(2);
    const MemberId a(1);
    MessageSequence first(Incarnation(1'700'000'000'000));
    uint64_t last = 0;
    for (int i = 0; i < 1000; ++i) {
        last = first.next();
        CHECK(guard.accept(a, last));
    }
    CHECK_FALSE(guard.accept(a, last));
    MessageSequence second(Incarnation(1'700'000'000'001));
    CHECK(guard.accept(a, second.next()));
    CHECK_FALSE(guard.accept(a, last));

    CHECK(guard.accept(MemberId(2), 1));
    CHECK(guard.accept(a, second.next()));
    CHECK(guard.accept(MemberId(3), 1));
    CHECK(guard.senderCount() == 2);
    CHECK(guard.evictedSenderCount() == 1);
    CHECK_FALSE(guard.accept(a, last));
}
