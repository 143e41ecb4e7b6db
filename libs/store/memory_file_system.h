// FileSystem in memory for tests. It tracks durable and unsynced content separately, so that crash() can lose what a
// power failure may lose. All random choices derive from the seed.
//
//     MemoryFileSystem files(seed);
//     files.faults().syncFailure = 0.01;
//     ... // write to a Store until it fails
//     files.crash(); // unsynced writes are lost, torn or partly kept
#pragma once

#include "core/random.h"
#include "store/file_system.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace cicadaward {

class MemoryFileSystem final : public FileSystem {
public:
    // Probability of each fault per operation.
    struct Faults {
        double syncFailure = 0;
        double shortWrite = 0;
        std::optional<uint64_t> capacity; // bytes in all files; appends beyond it fail
        bool refusesNames = false; // no file can be created or renamed, as on a full disk
    };

    explicit MemoryFileSystem(uint64_t seed)
        : m_random(seed)
    {
    }

    Faults& faults() { return m_faults; }
    uint64_t usedBytes() const;
    // Simulates a power failure. What remains is the durable state plus a random part of what was not synced: any
    // subset of the sectors of appended bytes, and a prefix of the directory changes. Open files must be closed before.
    void crash();
    // Flips bit `bit`, counted from the start of the file, in the current and the durable content.
    absl::Status flipBit(const std::string& path, uint64_t bit);
    // Number of operations so far that change the file system. After failAfter(n), every operation after the n-th fails
    // until crash().
    uint64_t operations() const { return m_operations; }
    void failAfter(uint64_t operation) { m_failAfter = operation; }

    absl::Status createDirectory(const std::string& path) override;
    absl::StatusOr<std::vector<std::string>> list(const std::string& directory) override;
    absl::StatusOr<std::string> read(const std::string& path) override;
    absl::StatusOr<std::unique_ptr<AppendFile>> openForAppend(const std::string& path) override;
    absl::Status rename(const std::string& from, const std::string& to) override;
    absl::Status remove(const std::string& path) override;
    absl::Status syncDirectory(const std::string& path) override;
    absl::StatusOr<std::unique_ptr<FileLock>> lock(const std::string& path) override;

private:
    struct Node {
        std::string durable;
        std::string current;
        bool syncFailed = false; // as on Linux, fsync reports the error once; later calls succeed but write nothing
    };
    using NodesByPath = std::map<std::string, std::shared_ptr<Node>>;
    struct MemoryAppendFile;
    struct MemoryFileLock;

    absl::Status beginOperation(const std::string& path);
    absl::Status append(Node& node, const std::string& bytes);
    absl::Status sync(Node& node);
    void change(const std::function<void(NodesByPath&)>& apply);
    void writeBackSomeSectors(Node& node, bool isLast);

    Random m_random;
    Faults m_faults;
    NodesByPath m_durableNodes;
    NodesByPath m_nodes;
    std::vector<std::function<void(NodesByPath&)>> m_unsyncedChanges;
    std::set<std::string> m_locks;
    uint64_t m_operations = 0;
    std::optional<uint64_t> m_failAfter;
};

} // namespace cicadaward
