#include "decision_log.h"

#include <boost/filesystem.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace cicadaward;
using namespace cicadaward::steering;

namespace {

namespace files = boost::filesystem;

struct Fixture {
    ManualClock clock;
    files::path file = files::temp_directory_path() / files::unique_path("decisions-%%%%%%%%.log");
    std::unique_ptr<EventLog> log = std::move(*EventLog::open(clock, file.string()));
    MetricRegistry metrics;
    DecisionLog decisions { clock, *log, metrics, 2 };

    ~Fixture() { files::remove(file); }
    size_t linesWith(const std::string& text) const
    {
        std::ifstream in(file.string());
        size_t count = 0;
        for (std::string line; std::getline(in, line);)
            count += line.find(text) != std::string::npos ? 1 : 0;
        return count;
    }
};

} // namespace

// Guards against an incident whose resets the log does not show.
TEST_CASE("routine decisions do not suppress resets in the log", "[decisions]")
{
    Fixture f;
    for (int i = 0; i < 50; ++i)
        f.decisions.onDecision(Decision::Offered, {}, {});
    for (int i = 0; i < 3; ++i)
        f.decisions.onDecision(Decision::Reset, {}, { {}, "no target holds it" });
    CHECK(f.linesWith("decision=offered") == 2);
    CHECK(f.linesWith("decision=reset") == 2);
    f.clock.advance(std::chrono::seconds(1));
    f.decisions.onDecision(Decision::Offered, {}, {});
    CHECK(f.linesWith("count=49") == 1);
    CHECK(f.linesWith("decision=offered") == 3);
}

TEST_CASE("decisions that a caller may notice are counted by reason", "[decisions]")
{
    Fixture f;
    f.decisions.onDecision(Decision::Reset, {}, { {}, "no target holds it" });
    f.decisions.onDecision(Decision::Reset, {}, { {}, "its target has ended" });
    f.decisions.onDecision(Decision::Reset, {}, { {}, "its target has ended" });
    f.decisions.onDecision(Decision::PassedOn, {}, { {}, "compare" });
    CHECK(f.metrics.counter("flow.reset").value() == 3);
    CHECK(f.metrics.counter("flow.reset.its-target-has-ended").value() == 2);
    CHECK(f.metrics.counter("flow.reset.no-target-holds-it").value() == 1);
    CHECK(f.metrics.counter("flow.passed-on").value() == 1);
    CHECK(f.metrics.text().find("passed_on_compare") == std::string::npos);
}
