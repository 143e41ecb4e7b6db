#include "disk_writer.h"

#include "store/memory_file_system.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

using namespace cicadaward;

namespace {

StoreBatch entryBatch(LogIndex index)
{
    StoreBatch batch;
    batch.state = HardState { Term(1), InstanceId(5) };
    batch.entries.push_back({ index, Term(1), EntryKind::Command, "order " + std::to_string(index) });
    return batch;
}

struct Fixture {
    boost::asio::io_context context;
    // Keeps the context from stopping whenever no result is queued.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard { context.get_executor() };
    MemoryFileSystem files { 1 };
    std::vector<uint64_t> written;
    std::vector<absl::Status> failures;
    DiskWriter writer { context, files, "data", {}, [this](uint64_t batchNumber) { written.push_back(batchNumber); },
        [this](const absl::Status& status) { failures.push_back(status); } };

    // Runs the event loop until this many results have arrived.
    void waitFor(size_t results)
    {
        while (written.size() + failures.size() < results)
            context.run_one();
    }
};

} // namespace

TEST_CASE("batches are written in order, and their tickets come back in order", "[disk]")
{
    Fixture fixture;
    auto contents = fixture.writer.open(InstanceId(7));
    REQUIRE(contents.ok());
    CHECK(contents->instance == InstanceId(7));
    CHECK(contents->empty());
    for (uint64_t batchNumber = 1; batchNumber <= 20; ++batchNumber)
        fixture.writer.write(batchNumber, entryBatch(batchNumber));
    fixture.waitFor(20);
    for (uint64_t i = 0; i < 20; ++i)
        CHECK(fixture.written[i] == i + 1);
    auto again = fixture.writer.open(InstanceId(9));
    REQUIRE(again.ok());
    CHECK(again->instance == InstanceId(7)); // the identity of a folder never changes
    CHECK(again->entries.size() == 20);
}

// Guards against a full disk ending the process: a write fails, and the instance opens the store again later.
TEST_CASE("after a failed write no more batches are written, and open() continues from the disk", "[disk]")
{
    Fixture fixture;
    REQUIRE(fixture.writer.open(InstanceId(7)).ok());
    fixture.writer.write(1, entryBatch(1));
    fixture.waitFor(1);
    fixture.files.faults().capacity = 0;
    fixture.writer.write(2, entryBatch(2));
    fixture.writer.write(3, entryBatch(3));
    fixture.waitFor(2);
    CHECK(fixture.written == std::vector<uint64_t> { 1 });
    REQUIRE(fixture.failures.size() == 1);
    CHECK_FALSE(fixture.writer.open(InstanceId(8)).ok()); // still full
    fixture.files.faults().capacity.reset();
    auto contents = fixture.writer.open(InstanceId(8));
    REQUIRE(contents.ok());
    CHECK(contents->instance == InstanceId(7));
    REQUIRE(contents->entries.size() == 1);
    fixture.writer.write(4, entryBatch(2));
    fixture.waitFor(3);
    CHECK(fixture.written == std::vector<uint64_t> { 1, 4 });
}
