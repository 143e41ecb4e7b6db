#include "observe/drop_log.h"
#include "observe/metrics.h"
#include "observe/trace.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

using namespace cicadaward;

namespace {

std::string fileText(const std::string& path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

TEST_CASE("event numbers and names are unique and docs/EVENTS.md lists exactly the events", "[observe]")
{
    std::set<std::string> names;
    EventId previous {};
    for (const EventInfo& event : allEvents()) {
        CHECK(event.id > previous);
        CHECK(names.insert(event.name).second);
        CHECK(&describeEvent(event.id) == &event);
        previous = event.id;
    }
    const std::string page = fileText(CICADAWARD_SOURCE_DIR "/docs/EVENTS.md");
    const size_t start = page.find("| number |");
    REQUIRE(start != std::string::npos);
    CHECK(page.substr(start) == eventCatalogue());
}

TEST_CASE("an event is one line whatever its values contain", "[observe]")
{
    CHECK(formatEvent(std::chrono::milliseconds(1'700'000'000'007), EventId::Started,
              { { "name", "a b" }, { "n", 3 }, { "evil", "x\n\"=\\\x01" }, { "empty", "" }, { "plain", "p%v" } })
        == "2023-11-14T22:13:20.007Z 100 started name=\"a b\" n=3 evil=\"x\\n\\\"=\\\\\\x01\" empty=\"\" plain=p%v");
}

TEST_CASE("events go to the file of their log, and drops at most once for each reason and second", "[observe]")
{
    const std::string folder = std::filesystem::temp_directory_path().string() + "/";
    const std::string path = folder + "cicadaward_observe_test_events.log";
    const std::string otherPath = folder + "cicadaward_observe_test_other.log";
    std::remove(path.c_str());
    std::remove(otherPath.c_str());
    ManualClock clock;
    auto log = EventLog::open(clock, path);
    auto other = EventLog::open(clock, otherPath);
    REQUIRE(log.ok());
    REQUIRE(other.ok());
    CHECK_FALSE(EventLog::open(clock, "no/such/folder/x.log").ok());
    (*other)->write(EventId::Stopped, { { "text", "%level %v" } });

    DropLog drops(**log, clock);
    const auto lines = [&] {
        const std::string text = fileText(path);
        return std::count(text.begin(), text.end(), '\n');
    };
    drops.report();
    CHECK(lines() == 0);
    drops.add(DropReason::QueueFull, 5);
    drops.add(DropReason::Malformed);
    drops.report();
    CHECK(lines() == 2);
    drops.add(DropReason::QueueFull, 7);
    clock.advance(std::chrono::milliseconds(999));
    drops.report();
    CHECK(lines() == 2);
    clock.advance(std::chrono::milliseconds(1));
    drops.report();
    CHECK(lines() == 3);
    CHECK(fileText(path).find("400 packet-dropped reason=queue-full count=7 total=12\n") != std::string::npos);
    CHECK(fileText(otherPath) == "2023-11-14T22:13:20.000Z 102 stopped text=\"%level %v\"\n");
    std::set<std::string> reasons;
    for (size_t i = 0; i < dropReasonCount; ++i)
        CHECK(reasons.insert(dropReasonName(static_cast<DropReason>(i))).second);
}

TEST_CASE("metrics lose no update from several threads and print as JSON", "[observe]")
{
    MetricRegistry registry;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&] {
            for (int i = 0; i < 10000; ++i) {
                registry.counter("c").add();
                registry.gauge("g").add(-1);
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    const nlohmann::json json = nlohmann::json::parse(registry.json());
    CHECK(json["counters"]["c"] == 40000);
    CHECK(json["gauges"]["g"] == -40000);
    CHECK(json["quantiles"].empty());
}

TEST_CASE("histograms count each duration in the bucket that includes it", "[observe]")
{
    using namespace std::chrono_literals;
    struct Case {
        std::chrono::nanoseconds duration;
        double bound; // of the first bucket that counts it
    };
    constexpr double infinity = std::numeric_limits<double>::infinity();
    for (const Case& test :
        { Case { -5s, 0.001 }, Case { 0s, 0.001 }, Case { 1ms, 0.001 }, Case { 1ms + 1ns, 0.002 }, Case { 150ms, 0.2 },
            Case { 200ms, 0.2 }, Case { 10s, 10 }, Case { 10001ms, infinity }, Case { 1h, infinity } }) {
        INFO("duration " << test.duration.count());
        Histogram histogram;
        histogram.add(test.duration);
        for (const Histogram::Bucket& bucket : histogram.buckets())
            CHECK(bucket.count == (bucket.upperSeconds >= test.bound ? 1 : 0));
        CHECK(histogram.sumSeconds() == Approx(std::max(0.0, std::chrono::duration<double>(test.duration).count())));
    }
    Histogram many;
    uint64_t within = 0; // of the bucket of 50 ms
    Random random(3);
    for (int i = 0; i < 10000; ++i) {
        auto duration = std::chrono::microseconds(random.below(100000));
        within += duration <= 50ms ? 1 : 0;
        many.add(duration);
    }
    CHECK(many.buckets()[5].upperSeconds == 0.05);
    CHECK(many.buckets()[5].count == within);
    CHECK(many.buckets().back().count == 10000);
}

// Guards against a text that collectors cannot read.
TEST_CASE("metrics print in the text format", "[observe]")
{
    using namespace std::chrono_literals;
    MetricRegistry registry;
    registry.counter("flow.no-route").add(3);
    registry.gauge("agent.flows").set(-2);
    registry.quantiles("q").add(1.5);
    registry.histogram("request.waited").add(30ms);
    registry.histogram("request.waited").add(11s);
    const std::string expected = "# TYPE cicadaward_flow_no_route_total counter\n"
                                 "cicadaward_flow_no_route_total 3\n"
                                 "# TYPE cicadaward_agent_flows gauge\n"
                                 "cicadaward_agent_flows -2\n"
                                 "# TYPE cicadaward_q summary\n"
                                 "cicadaward_q{quantile=\"0.5\"} 1.5\n"
                                 "cicadaward_q{quantile=\"0.9\"} 1.5\n"
                                 "cicadaward_q{quantile=\"0.99\"} 1.5\n"
                                 "cicadaward_q_sum 1.5\n"
                                 "cicadaward_q_count 1\n"
                                 "# TYPE cicadaward_request_waited_seconds histogram\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"0.001\"} 0\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"0.002\"} 0\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"0.005\"} 0\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"0.01\"} 0\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"0.02\"} 0\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"0.05\"} 1\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"0.1\"} 1\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"0.2\"} 1\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"0.5\"} 1\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"1\"} 1\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"2\"} 1\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"5\"} 1\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"10\"} 1\n"
                                 "cicadaward_request_waited_seconds_bucket{le=\"+Inf\"} 2\n"
                                 "cicadaward_request_waited_seconds_sum 11.03\n"
                                 "cicadaward_request_waited_seconds_count 2\n";
    CHECK(registry.text() == expected);
    const nlohmann::json json = nlohmann::json::parse(registry.json());
    CHECK(json["histograms"]["request.waited"]["count"] == 2);
    CHECK(json["histograms"]["request.waited"]["buckets"].back() == nlohmann::json::array({ nullptr, 2 }));
}

TEST_CASE("quantiles are exact for few values and close to a sorted list for many", "[observe]")
{
    Quantiles few;
    CHECK(few.summary().count == 0);
    for (const double value : { 9.0, 1.0, 5.0, std::nan("") })
        few.add(value);
    CHECK(few.summary().count == 3);
    CHECK(few.summary().p50 == 5.0);
    CHECK(few.summary().p99 == 9.0);

    const uint64_t seed = 11;
    INFO("seed " << seed);
    Random random(seed);
    Quantiles many;
    std::vector<double> values;
    for (int i = 0; i < 20000; ++i) {
        values.push_back(random.unit() * random.unit() * 100);
        many.add(values.back());
    }
    std::sort(values.begin(), values.end());
    CHECK(many.summary().p50 == Approx(values[10000]).margin(2));
    CHECK(many.summary().p90 == Approx(values[18000]).margin(2));
    CHECK(many.summary().p99 == Approx(values[19800]).margin(2));
    CHECK(many.summary().smallest == values.front());
    CHECK(many.summary().largest == values.back());
}

TEST_CASE("traceparent is parsed strictly", "[observe]")
{
    const std::string valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    REQUIRE(parseTraceparent(valid));
    CHECK(formatTraceparent(*parseTraceparent(valid)) == valid);
    CHECK(parseTraceparent("01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00-more"));
    for (const char* text : { "", "00", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0",
             "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-",
             "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
             "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
             "00-00000000000000000000000000000000-b7ad6b7169203331-01",
             "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
             "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
             "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01x" }) {
        INFO(text);
        CHECK_FALSE(parseTraceparent(text));
    }
}

TEST_CASE("changed traceparents are refused or keep valid ids", "[observe]")
{
    for (uint64_t seed = 1; seed <= 3000; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        std::string text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        for (uint64_t i = random.below(3); i > 0; --i)
            text[random.below(text.size())] = static_cast<char>(random.next());
        if (random.below(4) == 0)
            text.resize(random.below(70), '0');
        const auto context = parseTraceparent(text);
        if (!context)
            continue;
        CHECK((context->traceHigh | context->traceLow) != 0);
        CHECK(context->span != 0);
        CHECK(parseTraceparent(formatTraceparent(*context)));
    }
}

TEST_CASE("a span keeps the trace of its parent and becomes one JSON line", "[observe]")
{
    ManualClock clock;
    auto stream = std::make_unique<std::ostringstream>();
    const std::ostringstream& text = *stream;
    const JsonTracer tracer(clock, 1, std::move(stream), { 0.0, 400 });
    const auto parent = parseTraceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    const auto span = tracer.StartSpan("hop", { opentracing::ChildOf(&*parent) });
    span->SetTag("member", 17);
    span->SetTag("bad", std::string("\xff\n"));
    span->Log({ { "event", "queued" } });
    clock.advance(std::chrono::microseconds(1500));
    CHECK(formatTraceparent(span->context()).substr(0, 36) == "00-0af7651916cd43dd8448eb211c80319c-");
    span->Finish();
    span->Finish();
    tracer.StartSpan("root, not sampled")->Finish();
    const nlohmann::json line = nlohmann::json::parse(text.str());
    CHECK(line["parent"] == "b7ad6b7169203331");
    CHECK(line["us"] == 1500);
    CHECK(line["tags"]["member"] == 17);
    CHECK(line["logs"][0]["event"] == "queued");
    for (int i = 0; i < 10; ++i)
        tracer.StartSpan("more", { opentracing::ChildOf(&*parent) })->Finish();
    CHECK(text.str().size() <= 400);
    CHECK(tracer.droppedSpans() > 0);
}
