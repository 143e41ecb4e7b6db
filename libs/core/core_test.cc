#include "core/clock.h"
#include "core/findings.h"
#include "core/hash.h"
#include "core/ids.h"
#include "core/random.h"
#include "core/ring.h"

#include <catch2/catch.hpp>

using namespace cicadaward;

TEST_CASE("findings are reported together, each with its place", "[core]")
{
    Findings findings;
    CHECK(findings.status().ok());
    findings.add({ "entry.ini", 3, "listen.port" }, "must be a number");
    findings.add({ "entry.ini", 0, "" }, "section [peers] is missing");
    CHECK(findings.status().code() == absl::StatusCode::kInvalidArgument);
    CHECK(findings.report() == "entry.ini:3: listen.port: must be a number\nentry.ini: section [peers] is missing\n");
}

TEST_CASE("a full ring refuses and counts instead of overwriting", "[core]")
{
    Ring<int> ring(2);
    CHECK(ring.push(1));
    CHECK(ring.push(2));
    CHECK_FALSE(ring.push(3));
    CHECK(ring.refused() == 1);
    CHECK(ring.depth() == 2);
    CHECK(ring.pop() == 1);
    CHECK(ring.push(4));
    CHECK(ring.pop() == 2);
    CHECK(ring.pop() == 4);
    CHECK_FALSE(ring.pop().has_value());
}

TEST_CASE("hashes keep their values between builds", "[core]")
{
    // Owners are derived from these values in every process; a change would move every bucket during an upgrade.
    CHECK(hashString("agent-1") == hashBytes("agent-1", 7, 0));
    CHECK(mixHash(1, 2) != mixHash(2, 1));
    Random a(5);
    Random b(5);
    CHECK(a.next() == b.next());
}
