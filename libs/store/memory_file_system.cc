#include "store/memory_file_system.h"

#include <algorithm>

namespace cicadaward {

namespace {

    constexpr size_t sectorSize = 512;

    absl::Status noSpaceError() { return absl::ResourceExhaustedError("no space left on device"); }

} // namespace

struct MemoryFileSystem::MemoryAppendFile final : AppendFile {
    MemoryAppendFile(MemoryFileSystem& owner, std::shared_ptr<Node> file)
        : files(owner)
        , node(std::move(file))
    {
    }
    absl::Status append(const std::string& bytes) override { return files.append(*node, bytes); }
    absl::Status sync() override { return files.sync(*node); }

    MemoryFileSystem& files;
    std::shared_ptr<Node> node;
};

struct MemoryFileSystem::MemoryFileLock final : FileLock {
    MemoryFileLock(MemoryFileSystem& owner, std::string name)
        : files(owner)
        , path(std::move(name))
    {
    }
    ~MemoryFileLock() override { files.m_locks.erase(path); }
    MemoryFileLock(const MemoryFileLock&) = delete;
    MemoryFileLock& operator=(const MemoryFileLock&) = delete;

    MemoryFileSystem& files;
    std::string path;
};

absl::Status MemoryFileSystem::beginOperation(const std::string& path)
{
    if (m_failAfter && m_operations >= *m_failAfter)
        return absl::UnavailableError(path + ": stopped");
    ++m_operations;
    return absl::OkStatus();
}

void MemoryFileSystem::change(const std::function<void(NodesByPath&)>& apply)
{
    apply(m_nodes);
    m_unsyncedChanges.push_back(apply);
}

absl::Status MemoryFileSystem::append(Node& node, const std::string& bytes)
{
    if (absl::Status status = beginOperation("append"); !status.ok())
        return status;
    uint64_t used = usedBytes();
    if (m_faults.capacity && used + bytes.size() > *m_faults.capacity) {
        uint64_t freeBytes = *m_faults.capacity > used ? *m_faults.capacity - used : 0;
        node.current.append(bytes, 0, freeBytes);
        return noSpaceError();
    }
    if (m_random.unit() < m_faults.shortWrite) {
        node.current.append(bytes, 0, m_random.below(bytes.size() + 1));
        return absl::UnavailableError("short write");
    }
    node.current += bytes;
    return absl::OkStatus();
}

uint64_t MemoryFileSystem::usedBytes() const
{
    uint64_t used = 0;
    for (const auto& [name, file] : m_nodes)
        used += file->current.size();
    return used;
}

absl::Status MemoryFileSystem::sync(Node& node)
{
    if (absl::Status status = beginOperation("fsync"); !status.ok())
        return status;
    if (m_random.unit() < m_faults.syncFailure) {
        writeBackSomeSectors(node, false);
        node.syncFailed = true;
        return absl::UnavailableError("fsync failed");
    }
    if (!node.syncFailed)
        node.durable = node.current;
    return absl::OkStatus();
}

// Writes back a random subset of the unsynced sectors. The others keep their old bytes, or read as zero after the old
// end of the file.
void MemoryFileSystem::writeBackSomeSectors(Node& node, bool isLast)
{
    size_t size = node.durable.size() + m_random.below(node.current.size() - node.durable.size() + 1);
    // Only after a crash may the file end inside a sector: before, a later write-back rewrites the whole sector.
    if (!isLast)
        size = std::max(node.durable.size(), size / sectorSize * sectorSize);
    std::string torn = node.durable;
    torn.resize(size, '\0');
    for (size_t start = node.durable.size(); start < size;) {
        size_t end = std::min(size, (start / sectorSize + 1) * sectorSize);
        if (m_random.below(4) != 0)
            std::copy_n(node.current.data() + start, end - start, torn.data() + start);
        start = end;
    }
    node.durable = torn;
}

void MemoryFileSystem::crash()
{
    size_t kept = m_random.below(m_unsyncedChanges.size() + 1);
    for (size_t i = 0; i < kept; ++i)
        m_unsyncedChanges[i](m_durableNodes);
    m_unsyncedChanges.clear();
    for (auto& [name, node] : m_durableNodes) {
        if (node->current != node->durable)
            writeBackSomeSectors(*node, true);
        node->current = node->durable;
        node->syncFailed = false;
    }
    m_nodes = m_durableNodes;
    m_locks.clear();
    m_failAfter.reset();
}

absl::Status MemoryFileSystem::flipBit(const std::string& path, uint64_t bit)
{
    auto found = m_nodes.find(path);
    if (found == m_nodes.end() || bit / 8 >= found->second->current.size())
        return absl::NotFoundError(path);
    for (std::string* bytes : { &found->second->current, &found->second->durable }) {
        if (bit / 8 < bytes->size())
            (*bytes)[bit / 8] = static_cast<char>((*bytes)[bit / 8] ^ (1 << (bit % 8)));
    }
    return absl::OkStatus();
}

absl::Status MemoryFileSystem::createDirectory(const std::string&) { return absl::OkStatus(); }

absl::StatusOr<std::vector<std::string>> MemoryFileSystem::list(const std::string& directory)
{
    std::vector<std::string> names;
    std::string prefix = directory + "/";
    for (const auto& [name, node] : m_nodes) {
        if (name.compare(0, prefix.size(), prefix) == 0)
            names.push_back(name.substr(prefix.size()));
    }
    return names;
}

absl::StatusOr<std::string> MemoryFileSystem::read(const std::string& path)
{
    auto found = m_nodes.find(path);
    if (found == m_nodes.end())
        return absl::NotFoundError(path);
    return found->second->current;
}

absl::StatusOr<std::unique_ptr<AppendFile>> MemoryFileSystem::openForAppend(const std::string& path)
{
    auto found = m_nodes.find(path);
    if (found == m_nodes.end()) {
        if (absl::Status status = beginOperation(path); !status.ok())
            return status;
        if (m_faults.refusesNames)
            return noSpaceError();
        auto node = std::make_shared<Node>();
        change([path, node](NodesByPath& names) { names[path] = node; });
        found = m_nodes.find(path);
    }
    return std::make_unique<MemoryAppendFile>(*this, found->second);
}

absl::Status MemoryFileSystem::rename(const std::string& from, const std::string& to)
{
    if (absl::Status status = beginOperation(from); !status.ok())
        return status;
    if (m_faults.refusesNames)
        return noSpaceError();
    auto found = m_nodes.find(from);
    if (found == m_nodes.end())
        return absl::NotFoundError(from);
    change([from, to, node = found->second](NodesByPath& names) {
        names.erase(from);
        names[to] = node;
    });
    return absl::OkStatus();
}

absl::Status MemoryFileSystem::remove(const std::string& path)
{
    if (absl::Status status = beginOperation(path); !status.ok())
        return status;
    if (m_nodes.find(path) == m_nodes.end())
        return absl::NotFoundError(path);
    change([path](NodesByPath& names) { names.erase(path); });
    return absl::OkStatus();
}

absl::Status MemoryFileSystem::syncDirectory(const std::string& path)
{
    if (absl::Status status = beginOperation(path); !status.ok())
        return status;
    if (m_random.unit() < m_faults.syncFailure)
        return absl::UnavailableError("fsync failed");
    for (const auto& apply : m_unsyncedChanges)
        apply(m_durableNodes);
    m_unsyncedChanges.clear();
    return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<FileLock>> MemoryFileSystem::lock(const std::string& path)
{
    if (!m_locks.insert(path).second)
        return absl::FailedPreconditionError(path + ": locked by another process");
    return std::make_unique<MemoryFileLock>(*this, path);
}

} // namespace cicadaward
