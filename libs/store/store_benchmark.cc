// Compares a durable append to the store with a baseline: write and fsync of the same number of bytes on the same file
// system. The files are created under the working directory, because fsync costs nothing on tmpfs, where the system's
// temporary folder may be.
#include "store/posix_file_system.h"
#include "store/store.h"

#include <benchmark/benchmark.h>
#include <filesystem>
#include <unistd.h>

using namespace cicadaward;

namespace {

std::string freshFolder()
{
    std::string folder = "store_benchmark." + std::to_string(getpid());
    std::filesystem::remove_all(folder);
    return folder;
}

void writeAndSync(benchmark::State& state)
{
    PosixFileSystem files;
    std::string folder = freshFolder();
    if (!files.createDirectory(folder).ok())
        return state.SkipWithError("can't create the folder");
    auto file = files.openForAppend(folder + "/file");
    std::string bytes(static_cast<size_t>(state.range(0)), 'x');
    for (auto iteration : state) {
        if (!(*file)->append(bytes).ok() || !(*file)->sync().ok())
            return state.SkipWithError("write failed");
    }
    state.SetBytesProcessed(static_cast<int64_t>(state.iterations()) * state.range(0));
    std::filesystem::remove_all(folder);
}

void storeAppend(benchmark::State& state)
{
    PosixFileSystem files;
    Random random(1);
    std::string folder = freshFolder();
    {
        auto store = Store::open(files, folder, random);
        if (!store.ok())
            return state.SkipWithError("can't open the store");
        StoreBatch batch;
        batch.entries.push_back(
            { 0, Term(1), EntryKind::Command, std::string(static_cast<size_t>(state.range(0)), 'x') });
        for (auto iteration : state) {
            ++batch.entries.front().index;
            if (!(*store)->write(batch).ok())
                return state.SkipWithError("write failed");
        }
    }
    state.SetBytesProcessed(static_cast<int64_t>(state.iterations()) * state.range(0));
    std::filesystem::remove_all(folder);
}

} // namespace

BENCHMARK(writeAndSync)->Arg(128)->Arg(4096)->Arg(65536)->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK(storeAppend)->Arg(128)->Arg(4096)->Arg(65536)->UseRealTime()->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
