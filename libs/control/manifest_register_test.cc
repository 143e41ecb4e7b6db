#include "control/manifest_register.h"

#include "control/test_support.h"

#include <catch2/catch.hpp>

using namespace cicadaward;
using namespace cicadaward::control;
using namespace cicadaward::control::test;

namespace {

// Applies a command under the next index.
ManifestResult apply(ManifestRegister& manifests, const ManifestCommand& command)
{
    return manifests.apply(manifests.appliedIndex() + 1, encodeMessage(command));
}

ManifestResult applyText(ManifestRegister& manifests, const Manifest& manifest, const std::string& who = "pipeline")
{
    return apply(manifests, manifestCommand(manifest, who));
}

} // namespace

TEST_CASE("compare-and-set on version and replaces", "[control][register]")
{
    // Guards against two accepted contents of one version, and against a rejected retry after a lost reply.
    ManifestRegister manifests;
    REQUIRE(applyText(manifests, sampleManifest(1, 0), "anna").epoch == Epoch(1));
    REQUIRE(applyText(manifests, sampleManifest(3, 1)).epoch == Epoch(2));
    Manifest other = sampleManifest(3, 1);
    other.services[0].slotsPerTarget = 9;
    struct Case {
        const char* name;
        Manifest manifest;
        ManifestOutcome outcome;
        uint64_t version;
        uint64_t epoch;
    };
    const Case cases[] = {
        { "equal version, equal content", sampleManifest(3, 1), ManifestOutcome::Accepted, 3, 2 },
        { "equal version, other content", other, ManifestOutcome::Conflict, 3, 2 },
        { "earlier version sent again", sampleManifest(1, 0), ManifestOutcome::Accepted, 1, 1 },
        { "version that was skipped", sampleManifest(2, 1), ManifestOutcome::Older, 2, 0 },
        { "newer version on an old base", sampleManifest(4, 1), ManifestOutcome::WrongBase, 0, 0 },
        { "newer version on a future base", sampleManifest(9, 8), ManifestOutcome::WrongBase, 0, 0 },
    };
    for (const Case& c : cases) {
        INFO(c.name);
        std::string before = manifests.snapshot();
        ManifestResult result = applyText(manifests, c.manifest, "ben");
        CHECK(result.outcome == c.outcome);
        CHECK(result.version == c.version);
        CHECK(result.epoch == Epoch(c.epoch));
        CHECK(result.currentVersion == 3);
        CHECK(manifests.epoch() == Epoch(2));
        if (c.version == 1)
            CHECK(result.who == "anna");
    }
    CHECK(applyText(manifests, sampleManifest(4, 3)).outcome == ManifestOutcome::Accepted);
}

TEST_CASE("ids are kept for unchanged services and never reused", "[control][register]")
{
    // Guards against packets of an old service that reach a new one under the same name or address.
    ManifestRegister manifests;
    applyText(manifests, sampleManifest(1, 0));
    auto idOf = [&](const std::string& name) {
        for (const Service& service : manifests.services()) {
            if (service.spec.name == name)
                return service.id.value();
        }
        return 0U;
    };
    uint32_t sequencer = idOf("sequencer");
    uint32_t artwork = idOf("artwork");
    Manifest next = sampleManifest(2, 1);
    next.services[0].ports.push_back({ 7001, Protocol::Udp, PortMode::Flow });
    applyText(manifests, next);
    CHECK(idOf("sequencer") == sequencer);
    next.version = 3;
    next.replaces = 2;
    next.services[0].buckets = 2048;
    next.services.pop_back();
    applyText(manifests, next);
    CHECK(idOf("sequencer") > artwork);
    CHECK(idOf("artwork") == 0);
    uint32_t highest = idOf("sequencer");
    applyText(manifests, sampleManifest(4, 3));
    CHECK(idOf("sequencer") > highest); // the number of buckets changed back
    CHECK(idOf("artwork") > highest);
    Manifest moved = sampleManifest(5, 4);
    moved.services[1].address += 7;
    uint32_t before = idOf("artwork");
    applyText(manifests, moved);
    CHECK(idOf("artwork") > before);
    moved.version = 6;
    moved.replaces = 5;
    moved.dataCentres.erase(moved.dataCentres.begin());
    applyText(manifests, moved);
    uint16_t last = manifests.dataCentres().back().id.value();
    applyText(manifests, sampleManifest(7, 6));
    CHECK(manifests.dataCentres().back().id.value() > last);
}

TEST_CASE("taking a data centre out and in is a compare-and-set too", "[control][register]")
{
    // Guards against a resent "out" that undoes an "in" which came in between.
    ManifestRegister manifests;
    CHECK(apply(manifests, dataCentreCommand("hal-a", true, 0)).outcome == ManifestOutcome::Invalid);
    applyText(manifests, sampleManifest(1, 0));
    ManifestResult out = apply(manifests, dataCentreCommand("hal-a", true, 1));
    CHECK(out.version == 2);
    CHECK(manifests.dataCentres()[0].isTakenOut);
    CHECK(apply(manifests, dataCentreCommand("hal-a", true, 0)).version == 2); // already out
    CHECK(apply(manifests, dataCentreCommand("hal-a", false, 2)).version == 3);
    ManifestResult again = apply(manifests, dataCentreCommand("hal-a", true, 1));
    CHECK(again.outcome == ManifestOutcome::Accepted);
    CHECK(again.epoch == out.epoch);
    CHECK_FALSE(manifests.dataCentres()[0].isTakenOut);
    CHECK(apply(manifests, dataCentreCommand("hal-b", true, 1)).outcome == ManifestOutcome::Conflict);
    CHECK(apply(manifests, dataCentreCommand("hal-b", true, 9)).outcome == ManifestOutcome::WrongBase);
    CHECK(apply(manifests, dataCentreCommand("nowhere", true, 3)).findings.size() == 1);
    // A manifest based on version 1 must not undo the operator's change.
    CHECK(applyText(manifests, sampleManifest(2, 1)).outcome == ManifestOutcome::Conflict);
}

TEST_CASE("every rejected manifest names its findings and changes nothing", "[control][register]")
{
    ManifestRegister manifests;
    ManifestCommand command = manifestCommand(sampleManifest(1, 0), "ben");
    command.manifest.replace(command.manifest.find("\"buckets\": 1024"), 15, "\"buckets\": 1000");
    ManifestResult result = apply(manifests, command);
    CHECK(result.outcome == ManifestOutcome::Invalid);
    REQUIRE(result.findings.size() == 1);
    CHECK(result.findings[0].find("services[0].buckets: must be a power of two") == 0);
    CHECK(manifests.apply(2, "damaged").outcome == ManifestOutcome::Invalid);
    CHECK(manifests.version() == 0);
    CHECK(manifests.apply(2, encodeMessage(command)).outcome == ManifestOutcome::AlreadyApplied);
}

TEST_CASE(
    "the history answers repeated commands for the last 1,024 versions, also after a restart", "[control][register]")
{
    ManifestRegister manifests;
    for (uint64_t version = 1; version <= 1100; ++version)
        REQUIRE(applyText(manifests, sampleManifest(version, version - 1)).epoch == Epoch(version));
    ManifestRegister restored;
    REQUIRE(restored.restore(manifests.snapshot()));
    CHECK(restored.snapshot() == manifests.snapshot());
    CHECK(applyText(restored, sampleManifest(77, 76)).epoch == Epoch(77));
    CHECK(applyText(restored, sampleManifest(76, 75)).outcome == ManifestOutcome::Older);
    CHECK(applyText(restored, sampleManifest(1101, 1100)).epoch == Epoch(1101));
}

TEST_CASE("damaged snapshots and commands neither crash nor change part of the state", "[control][register][fuzz]")
{
    Random random(31);
    ManifestRegister manifests;
    applyText(manifests, sampleManifest(1, 0));
    std::string snapshot = manifests.snapshot();
    std::string command = encodeMessage(manifestCommand(sampleManifest(2, 1), "ben"));
    for (int i = 0; i < 5000; ++i) {
        std::string damaged = corrupt(snapshot, random);
        ManifestRegister target;
        if (!target.restore(damaged))
            REQUIRE(target.appliedIndex() == 0);
        ManifestRegister copy = manifests;
        copy.apply(copy.appliedIndex() + 1, corrupt(command, random));
        REQUIRE(copy.epoch().value() <= 2);
    }
}
