#include "store/store.h"

#include "store/memory_file_system.h"
#include "store/posix_file_system.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <unistd.h>

using namespace cicadaward;

namespace {

// Reference model: what the store must hold after the batches that were written.
struct Model {
    HardState state;
    LogSnapshot snapshot;
    std::vector<LogEntry> entries;

    void apply(const StoreBatch& batch)
    {
        state = batch.state.value_or(state);
        if (batch.snapshot) {
            snapshot = *batch.snapshot;
            entries.clear();
        }
        for (const LogEntry& entry : batch.entries) {
            entries.resize(entry.index - snapshot.index - 1);
            entries.push_back(entry);
        }
    }
    bool matches(const StoreContents& contents) const
    {
        return contents.state == state && contents.entries == entries && contents.snapshot.index == snapshot.index
            && contents.snapshot.term == snapshot.term && contents.snapshot.data == snapshot.data
            && contents.snapshot.configuration == snapshot.configuration;
    }
};

LogEntry makeEntry(LogIndex index, uint64_t term, size_t size)
{
    return { index, Term(term), EntryKind::Command, std::string(size, static_cast<char>('a' + index % 26)) };
}

// Draws a batch: state changes, appends, overwrites of a suffix, snapshots of the own log or of another instance's log.
StoreBatch randomBatch(Random& random, const Model& model)
{
    StoreBatch batch;
    LogIndex base = model.snapshot.index;
    LogIndex last = base + model.entries.size();
    uint64_t term = model.state.term.value() + random.below(2);
    if (term != model.state.term.value() || random.below(4) == 0)
        batch.state = HardState { Term(term), InstanceId(random.below(4)) };
    LogIndex from = last + 1;
    uint64_t choice = random.below(8);
    if (choice == 0 && !model.entries.empty()) {
        from = base + 1 + random.below(model.entries.size());
    } else if (choice == 1) {
        bool own = !model.entries.empty() && random.below(2) == 0;
        LogIndex index = own ? base + 1 + random.below(model.entries.size()) : last + 1 + random.below(5);
        Term snapshotTerm = own ? model.entries[index - base - 1].term : Term(term);
        batch.state = batch.state.value_or(model.state);
        batch.snapshot = LogSnapshot { index, snapshotTerm, "voters", std::string(random.below(2000), 's') };
        if (own)
            batch.entries.assign(
                model.entries.begin() + static_cast<std::ptrdiff_t>(index - base), model.entries.end());
        from = std::max(index, last) + 1;
        if (!own)
            from = index + 1;
    }
    for (uint64_t count = random.below(4); count > 0; --count, ++from)
        batch.entries.push_back(makeEntry(from, term, random.below(900)));
    return batch;
}

StoreOptions smallOptions()
{
    StoreOptions options;
    options.segmentBytes = 3000;
    options.maxFrameBytes = 1500;
    return options;
}

} // namespace

TEST_CASE("A store on real files returns what was written, and its folder can't be opened twice")
{
    std::string folder = (std::filesystem::temp_directory_path() / ("store_test." + std::to_string(getpid()))).string();
    std::filesystem::remove_all(folder);
    PosixFileSystem files;
    Random random(7);
    Model model;
    InstanceId instance;
    for (int round = 0; round < 10; ++round) {
        auto store = Store::open(files, folder, random, smallOptions());
        REQUIRE(store.ok());
        if (round > 0)
            CHECK((*store)->instance() == instance);
        instance = (*store)->instance();
        CHECK(instance != InstanceId());
        CHECK(model.matches((*store)->takeContents()));
        // Two processes that write to one folder would interleave their frames.
        CHECK(Store::open(files, folder, random).status().code() == absl::StatusCode::kFailedPrecondition);
        for (int i = 0; i < 20; ++i) {
            StoreBatch batch = randomBatch(random, model);
            REQUIRE((*store)->write(batch).ok());
            model.apply(batch);
        }
    }
    std::filesystem::remove_all(folder);
}

TEST_CASE("After a crash at any operation a store holds every acknowledged batch")
{
    // Guards against a missing fsync of a file or directory, a wrong order of rename and removal, and a lost instance
    // id.
    for (uint64_t seed = 1; seed <= 1500; ++seed) {
        INFO("seed " << seed);
        MemoryFileSystem files(seed);
        Random random(seed * 31);
        Model model;
        InstanceId instance;
        for (int crash = 0; crash < 3; ++crash) {
            files.failAfter(files.operations() + random.below(60));
            std::vector<Model> possible { model };
            {
                auto store = Store::open(files, "data", random, smallOptions());
                if (store.ok() && instance == InstanceId())
                    instance = (*store)->instance();
                for (int i = 0; store.ok() && i < 40; ++i) {
                    StoreBatch batch = randomBatch(random, model);
                    Model next = model;
                    next.apply(batch);
                    if (!(*store)->write(batch).ok()) {
                        // Any prefix of the entries may be durable. A snapshot is durable before its entries.
                        StoreBatch part = batch;
                        for (part.entries.clear(); part.entries.size() < batch.entries.size();) {
                            possible.push_back(model);
                            if (!batch.snapshot)
                                possible.back().apply(part);
                            part.entries.push_back(batch.entries[part.entries.size()]);
                        }
                        if (batch.snapshot) {
                            // The new snapshot with the old state and the entries of the old log after the snapshot.
                            Model half = model;
                            half.snapshot = *batch.snapshot;
                            half.entries.clear();
                            for (const LogEntry& entry : model.entries) {
                                if (entry.index > batch.snapshot->index)
                                    half.entries.push_back(entry);
                            }
                            possible.push_back(half);
                        }
                        possible.push_back(next);
                        CHECK((*store)->write(batch) == (*store)->failure());
                        break;
                    }
                    model = possible.front() = next;
                }
            }
            files.crash();
            auto store = Store::open(files, "data", random, smallOptions());
            INFO(store.status());
            REQUIRE(store.ok());
            StoreContents contents = (*store)->takeContents();
            auto found
                = std::find_if(possible.begin(), possible.end(), [&](const Model& m) { return m.matches(contents); });
            REQUIRE(found != possible.end());
            if (instance != InstanceId())
                REQUIRE((*store)->instance() == instance);
            instance = (*store)->instance();
            model = *found;
        }
    }
}

TEST_CASE("A flipped bit in a synced frame is reported with file and offset")
{
    MemoryFileSystem files(1);
    Random random(1);
    {
        auto store = Store::open(files, "data", random);
        REQUIRE(store.ok());
        for (LogIndex i = 1; i <= 6; ++i)
            REQUIRE((*store)->write({ HardState { Term(1), InstanceId(2) }, {}, { makeEntry(i, 1, 40) } }).ok());
    }
    std::string name = "data/segment-0000000000000001";
    uint64_t bits = files.read(name)->size() * 8;
    for (uint64_t bit = 0; bit < bits; ++bit) {
        INFO("bit " << bit);
        REQUIRE(files.flipBit(name, bit).ok());
        absl::Status status = Store::open(files, "data", random).status();
        REQUIRE(status.code() == absl::StatusCode::kDataLoss);
        REQUIRE(status.message().find(name + ": offset ") == 0);
        REQUIRE(files.flipBit(name, bit).ok());
    }
    auto store = Store::open(files, "data", random);
    REQUIRE(store.ok());
    CHECK((*store)->takeContents().entries.size() == 6);
}

TEST_CASE("A store rejects every write after a failed one")
{
    struct Case {
        const char* name;
        MemoryFileSystem::Faults faults;
    };
    const Case cases[]
        = { { "failed fsync", { 1, 0, {} } }, { "short write", { 0, 1, {} } }, { "full disk", { 0, 0, 300 } } };
    for (const Case& c : cases) {
        for (bool withSnapshot : { false, true }) {
            INFO(c.name << ", snapshot " << withSnapshot);
            MemoryFileSystem files(3);
            Random random(3);
            auto store = Store::open(files, "data", random);
            REQUIRE(store.ok());
            files.faults() = c.faults;
            StoreBatch batch { HardState { Term(1), InstanceId(1) }, {}, { makeEntry(1, 1, 400) } };
            if (withSnapshot) {
                batch.snapshot = LogSnapshot { 1, Term(1), "", std::string(400, 's') };
                batch.entries.clear();
            }
            CHECK(!(*store)->write(batch).ok());
            files.faults() = {};
            // A retry of a failed fsync could succeed although the bytes never reached the device.
            CHECK(!(*store)->write(batch).ok());
            CHECK(!(*store)->failure().ok());
        }
    }
}

TEST_CASE("What a store recovers after a failed fsync is durable")
{
    // After a failed fsync, the page cache still returns bytes that never reached the device, and the next fsync
    // reports no error. A store that does not rewrite its log on open would lose in a crash what it has returned.
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        MemoryFileSystem files(seed);
        Random random(seed);
        LogIndex earlier = seed % 8; // of several segments
        {
            auto store = Store::open(files, "data", random, smallOptions());
            REQUIRE(store.ok());
            for (LogIndex i = 1; i <= earlier; ++i)
                REQUIRE((*store)->write({ {}, {}, { makeEntry(i, 1, 900) } }).ok());
            files.faults().syncFailure = 1;
            CHECK(!(*store)->write({ {}, {}, { makeEntry(earlier + 1, 1, 2000) } }).ok());
            files.faults() = {};
        }
        size_t found = Store::open(files, "data", random, smallOptions()).value()->takeContents().entries.size();
        files.crash();
        REQUIRE(Store::open(files, "data", random, smallOptions()).value()->takeContents().entries.size() == found);
        REQUIRE(found >= earlier);
    }
}

TEST_CASE("A store whose log takes most of the disk opens again after the disk was full")
{
    constexpr uint64_t diskBytes = 20'000;
    for (uint64_t room : { 0, 100, 1000 }) { // that is left when the disk is full: a part of a write, or nothing
        INFO("room " << room);
        MemoryFileSystem files(2);
        Random random(2);
        LogIndex last = 0;
        for (int round = 0; round < 4; ++round) {
            files.faults().capacity = diskBytes;
            auto store = Store::open(files, "data", random, smallOptions());
            INFO("round " << round << ": " << store.status());
            REQUIRE(store.ok());
            CHECK((*store)->takeContents().entries.size() >= last);
            while (files.usedBytes() < diskBytes * 2 / 3) {
                ++last;
                REQUIRE(
                    (*store)->write({ HardState { Term(1), InstanceId(1) }, {}, { makeEntry(last, 1, 900) } }).ok());
            }
            files.faults().capacity = files.usedBytes() + room;
            while ((*store)->failure().ok())
                (void)(*store)->write({ {}, {}, { makeEntry(last + 1, 1, 900) } });
            files.faults().refusesNames = true;
            store->reset();
            CHECK(Store::open(files, "data", random, smallOptions()).status().code()
                == absl::StatusCode::kResourceExhausted);
            files.faults().refusesNames = false;
        }
    }
}

TEST_CASE("A batch that is too large or incomplete is rejected without any effect")
{
    MemoryFileSystem files(4);
    Random random(4);
    StoreOptions options;
    options.maxEntryBytes = 10;
    options.maxSnapshotBytes = 10;
    auto store = Store::open(files, "data", random, options);
    REQUIRE(store.ok());
    uint64_t operations = files.operations();
    HardState state { Term(1), InstanceId(1) };
    const StoreBatch cases[] = { { {}, {}, { makeEntry(1, 1, 11) } }, { {}, LogSnapshot { 1, Term(1), "", "" }, {} },
        { state, LogSnapshot { 1, Term(1), "", std::string(11, 's') }, {} } };
    for (const StoreBatch& batch : cases)
        CHECK((*store)->write(batch).code() == absl::StatusCode::kInvalidArgument);
    CHECK(files.operations() == operations);
    CHECK((*store)->write({ state, {}, { makeEntry(1, 1, 10) } }).ok());
}

TEST_CASE("Obsolete segments are removed after a snapshot")
{
    MemoryFileSystem files(5);
    Random random(5);
    auto store = Store::open(files, "data", random, smallOptions());
    REQUIRE(store.ok());
    for (LogIndex i = 1; i <= 50; ++i)
        REQUIRE((*store)->write({ {}, {}, { makeEntry(i, 1, 500) } }).ok());
    CHECK(files.list("data")->size() > 5);
    REQUIRE((*store)->write({ HardState {}, LogSnapshot { 49, Term(1), "", "" }, { makeEntry(50, 1, 500) } }).ok());
    CHECK(*files.list("data") == std::vector<std::string> { "segment-0000000000000034", "snapshot-0000000000000031" });
}

TEST_CASE("The segment reader withstands arbitrary bytes and returns only frames that were written")
{
    Random random(6);
    detail::FileHeader header { detail::FileKind::Segment, 99, InstanceId(5), 1 };
    std::string good = detail::encodeFileHeader(header);
    for (uint64_t i = 1; i <= 5; ++i)
        good += detail::encodeFrame(header, i, std::string(i * 100, 'x'));
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = good;
        for (uint64_t edits = 1 + random.below(4); edits > 0; --edits) {
            if (random.below(3) == 0)
                bytes.resize(random.below(bytes.size() + 50));
            else if (!bytes.empty())
                bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        }
        auto scan = detail::scanFile("f", bytes, detail::FileKind::Segment, random.below(2) == 0);
        if (scan.ok()) {
            REQUIRE(scan->payloads.size() <= 5);
            for (size_t i = 0; i < scan->payloads.size(); ++i)
                REQUIRE(scan->payloads[i] == std::string((i + 1) * 100, 'x'));
        }
    }
}
