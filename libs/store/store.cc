#include "store/store.h"

#include "store/codec.h"

#include <algorithm>
#include <cstdio>

namespace cicadaward {

namespace {

    constexpr const char* lockName = "lock";
    constexpr const char* temporaryName = "new.tmp";
    constexpr const char* segmentPrefix = "segment-";
    constexpr const char* snapshotPrefix = "snapshot-";

    // Zero-padded hexadecimal, so that names sort in the order of their numbers.
    std::string numberedName(const char* prefix, uint64_t number)
    {
        char digits[17];
        std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(number));
        return std::string(prefix) + digits;
    }

    bool hasPrefix(const std::string& name, const std::string& prefix)
    {
        return name.compare(0, prefix.size(), prefix) == 0;
    }

    absl::Status dataLossError(const std::string& name, const std::string& what)
    {
        return absl::DataLossError(name + ": " + what);
    }

} // namespace

Store::Store(FileSystem& files, std::string folder, Random& random, StoreOptions options)
    : m_files(files)
    , m_folder(std::move(folder))
    , m_random(random)
    , m_options(options)
{
}

absl::StatusOr<std::unique_ptr<Store>> Store::open(
    FileSystem& files, std::string folder, Random& random, StoreOptions options)
{
    std::unique_ptr<Store> store(new Store(files, std::move(folder), random, options));
    if (absl::Status status = files.createDirectory(store->m_folder); !status.ok())
        return status;
    absl::StatusOr<std::unique_ptr<FileLock>> lock = files.lock(store->path(lockName));
    if (!lock.ok())
        return lock.status();
    store->m_lock = std::move(*lock);
    if (absl::Status status = store->load(); !status.ok())
        return status;
    return store;
}

absl::Status Store::load()
{
    absl::StatusOr<std::vector<std::string>> names = m_files.list(m_folder);
    if (!names.ok())
        return names.status();
    for (const std::string& name : *names) {
        if (hasPrefix(name, segmentPrefix))
            m_segmentNames.push_back(name);
        if (name == temporaryName) {
            if (absl::Status status = m_files.remove(path(name)); !status.ok())
                return status;
        }
    }
    if (absl::Status status = loadSnapshot(*names); !status.ok())
        return status;
    if (m_segmentNames.empty()) {
        if (!m_snapshotName.empty())
            return dataLossError(path(m_snapshotName), "the folder has a snapshot but no segment");
        m_instance = m_options.instanceId;
        while (m_instance == InstanceId())
            m_instance = InstanceId(m_random.next());
        m_contents.instance = m_instance;
        return startSegment({}, true);
    }
    if (absl::Status status = loadSegments(); !status.ok())
        return status;
    m_contents.instance = m_instance;
    absl::StatusOr<bool> trimmed = trimLogToSnapshot();
    if (!trimmed.ok())
        return trimmed.status();
    // The newest segment is always rewritten. It may exist in the page cache only, because after a failed fsync the
    // kernel reports no second error; each earlier one was synced as a whole before the next was started. The rewrite
    // also removes a torn tail. It needs space for one segment, since a log of more than half of the disk must open
    // too.
    absl::Status rewritten
        = *trimmed ? startSegment({ m_contents.state, {}, m_contents.entries }, true) : rewriteNewestSegment();
    if (!rewritten.ok())
        return rewritten;
    if (absl::Status status = removeObsoleteFiles(); !status.ok())
        return status;
    return m_files.syncDirectory(m_folder);
}

absl::Status Store::loadSnapshot(const std::vector<std::string>& names)
{
    for (const std::string& name : names) {
        if (hasPrefix(name, snapshotPrefix))
            m_snapshotName = name;
    }
    if (m_snapshotName.empty())
        return absl::OkStatus();
    absl::StatusOr<std::string> bytes = m_files.read(path(m_snapshotName));
    if (!bytes.ok())
        return bytes.status();
    absl::StatusOr<detail::FileScan> scan
        = detail::scanFile(path(m_snapshotName), *bytes, detail::FileKind::Snapshot, false);
    if (!scan.ok())
        return scan.status();
    detail::SnapshotFrame frame;
    if (scan->payloads.size() != 2 || !decodeMessage(scan->payloads[0], frame))
        return dataLossError(path(m_snapshotName), "snapshot is incomplete");
    m_instance = scan->header.instance;
    m_contents.snapshot = { frame.index, frame.term, frame.configuration, std::move(scan->payloads[1]) };
    return absl::OkStatus();
}

// Reads segments from the newest back to the newest one that starts with a reset frame, then replays them in order.
// Older segments are obsolete and must not be replayed: an interrupted removal may have left only some of them.
absl::Status Store::loadSegments()
{
    std::vector<detail::FileScan> scans;
    size_t first = m_segmentNames.size();
    while (m_resetSegment.empty()) {
        if (first == 0)
            return dataLossError(path(m_segmentNames.front()), "an earlier segment is missing");
        absl::StatusOr<detail::FileScan> scan = readSegment(m_segmentNames[--first]);
        if (!scan.ok())
            return scan.status();
        detail::BatchFrame frame;
        if (!scan->payloads.empty() && decodeMessage(scan->payloads.front(), frame) && frame.reset)
            m_resetSegment = m_segmentNames[first];
        scans.push_back(std::move(*scan));
    }
    m_nextSequence = scans.back().header.firstSequence;
    for (; !scans.empty(); scans.pop_back(), ++first) {
        const std::string& name = m_segmentNames[first];
        if (scans.back().header.firstSequence != m_nextSequence)
            return dataLossError(path(name), "segment is out of sequence; an earlier one is missing");
        if (m_instance != InstanceId() && m_instance != scans.back().header.instance)
            return dataLossError(path(name), "segment belongs to another instance");
        m_instance = scans.back().header.instance;
        for (const std::string& payload : scans.back().payloads) {
            if (absl::Status status = replayFrame(name, payload); !status.ok())
                return status;
        }
        m_nextSequence += scans.back().payloads.size();
        if (scans.size() == 1)
            m_newestSegment = std::move(scans.back());
    }
    return absl::OkStatus();
}

absl::StatusOr<detail::FileScan> Store::readSegment(const std::string& name)
{
    absl::StatusOr<std::string> bytes = m_files.read(path(name));
    if (!bytes.ok())
        return bytes.status();
    return detail::scanFile(path(name), *bytes, detail::FileKind::Segment, name == m_segmentNames.back());
}

absl::Status Store::replayFrame(const std::string& name, const std::string& payload)
{
    detail::BatchFrame frame;
    if (!decodeMessage(payload, frame))
        return dataLossError(path(name), "frame is not a batch");
    std::vector<LogEntry>& log = m_contents.entries;
    if (frame.reset)
        log.clear();
    if (frame.hasState)
        m_contents.state = frame.state;
    for (LogEntry& entry : frame.entries) {
        if (!log.empty() && (entry.index > log.back().index + 1 || entry.index < log.front().index))
            return dataLossError(path(name), "entry " + std::to_string(entry.index) + " does not follow the log");
        if (!log.empty())
            log.resize(entry.index - log.front().index);
        log.push_back(std::move(entry));
    }
    return absl::OkStatus();
}

// A crash after the rename of a snapshot, but before the start of its segment, leaves an older log. Entries after the
// snapshot are kept only if the log contains the snapshot's last entry with the same term, as in InstallSnapshot of
// Raft. Returns whether the log was older.
absl::StatusOr<bool> Store::trimLogToSnapshot()
{
    const LogSnapshot& snapshot = m_contents.snapshot;
    std::vector<LogEntry>& log = m_contents.entries;
    if (log.empty())
        return false;
    if (log.front().index > snapshot.index + 1)
        return dataLossError(
            path(m_segmentNames.back()), "entries before " + std::to_string(log.front().index) + " are missing");
    if (log.front().index == snapshot.index + 1)
        return false;
    size_t position = snapshot.index - log.front().index;
    if (position >= log.size() || log[position].term != snapshot.term)
        log.clear();
    else
        log.erase(log.begin(), log.begin() + static_cast<std::ptrdiff_t>(position) + 1);
    return true;
}

// Removes the oldest segment first, so that an interruption never leaves a gap in the sequence.
absl::Status Store::removeObsoleteFiles()
{
    while (m_segmentNames.front() < m_resetSegment) {
        if (absl::Status status = m_files.remove(path(m_segmentNames.front())); !status.ok())
            return status;
        m_segmentNames.erase(m_segmentNames.begin());
    }
    absl::StatusOr<std::vector<std::string>> names = m_files.list(m_folder);
    if (!names.ok())
        return names.status();
    for (const std::string& name : *names) {
        if (hasPrefix(name, snapshotPrefix) && name < m_snapshotName) {
            if (absl::Status status = m_files.remove(path(name)); !status.ok())
                return status;
        }
    }
    return absl::OkStatus();
}

absl::Status Store::validateBatch(const StoreBatch& batch) const
{
    if (batch.snapshot && !batch.state)
        return absl::InvalidArgumentError("a batch with a snapshot needs the state");
    if (batch.snapshot && numberedName(snapshotPrefix, batch.snapshot->index) < m_snapshotName)
        return absl::InvalidArgumentError("the snapshot is older than the stored one");
    if (batch.snapshot && batch.snapshot->data.size() > m_options.maxSnapshotBytes)
        return absl::InvalidArgumentError("the snapshot is too large");
    for (const LogEntry& entry : batch.entries) {
        if (entry.data.size() > m_options.maxEntryBytes)
            return absl::InvalidArgumentError("entry " + std::to_string(entry.index) + " is too large");
    }
    return absl::OkStatus();
}

absl::Status Store::write(const StoreBatch& batch)
{
    if (!m_failure.ok())
        return m_failure;
    if (absl::Status status = validateBatch(batch); !status.ok())
        return status;
    if (batch.empty())
        return absl::OkStatus();
    if (batch.snapshot) {
        m_failure = writeSnapshot(*batch.snapshot);
        if (m_failure.ok())
            m_failure = startSegment(batch, true);
        if (m_failure.ok())
            m_failure = removeObsoleteFiles();
        return m_failure;
    }
    m_failure = appendBatch(batch);
    return m_failure;
}

absl::Status Store::appendBatch(const StoreBatch& batch)
{
    for (const std::string& payload : encodePayloads(batch, false)) {
        if (m_segmentSize >= m_options.segmentBytes) {
            if (absl::Status status = startSegment({}, false); !status.ok())
                return status;
        }
        std::string frame = encodeFrame(m_header, m_nextSequence++, payload);
        if (absl::Status status = m_segment->append(frame); !status.ok())
            return status;
        // Each frame must be synced before the next one is written; scanFile() relies on it.
        if (absl::Status status = m_segment->sync(); !status.ok())
            return status;
        m_segmentSize += frame.size();
    }
    return absl::OkStatus();
}

std::vector<std::string> Store::encodePayloads(const StoreBatch& batch, bool reset) const
{
    std::vector<std::string> payloads;
    detail::BatchFrame frame { reset, batch.state.has_value(), batch.state.value_or(HardState {}), {} };
    size_t bytes = 0;
    for (const LogEntry& entry : batch.entries) {
        if (!frame.entries.empty() && bytes + entry.data.size() > m_options.maxFrameBytes) {
            payloads.push_back(encodeMessage(frame));
            frame = {};
            bytes = 0;
        }
        bytes += entry.data.size();
        frame.entries.push_back(entry);
    }
    payloads.push_back(encodeMessage(frame));
    return payloads;
}

absl::Status Store::writeSnapshot(const LogSnapshot& snapshot)
{
    detail::FileHeader header { detail::FileKind::Snapshot, m_random.next(), m_instance, 0 };
    std::string bytes = encodeFileHeader(header);
    bytes += encodeFrame(
        header, 0, encodeMessage(detail::SnapshotFrame { snapshot.index, snapshot.term, snapshot.configuration }));
    bytes += encodeFrame(header, 1, snapshot.data);
    std::string name = numberedName(snapshotPrefix, snapshot.index);
    if (absl::Status status = writeFileAtomically(name, bytes); !status.ok())
        return status;
    m_snapshotName = name;
    return absl::OkStatus();
}

absl::Status Store::startSegment(const StoreBatch& checkpoint, bool reset)
{
    detail::FileHeader header { detail::FileKind::Segment, m_random.next(), m_instance, m_nextSequence };
    std::string name = numberedName(segmentPrefix, m_nextSequence);
    std::string bytes = encodeFileHeader(header);
    if (reset) {
        for (const std::string& payload : encodePayloads(checkpoint, true))
            bytes += encodeFrame(header, m_nextSequence++, payload);
    }
    if (absl::Status status = writeSegment(name, header, bytes); !status.ok())
        return status;
    // If the newest segment has no frame yet, the new one has the same name and has replaced it.
    if (m_segmentNames.empty() || m_segmentNames.back() != name)
        m_segmentNames.push_back(name);
    if (reset)
        m_resetSegment = name;
    return absl::OkStatus();
}

// The new file has the same frames and replaces the old one under its name.
absl::Status Store::rewriteNewestSegment()
{
    detail::FileHeader header = m_newestSegment.header;
    header.salt = m_random.next();
    std::string bytes = encodeFileHeader(header);
    uint64_t sequence = header.firstSequence;
    for (const std::string& payload : m_newestSegment.payloads)
        bytes += encodeFrame(header, sequence++, payload);
    m_newestSegment = {};
    return writeSegment(m_segmentNames.back(), header, bytes);
}

// Later batches are appended to this segment.
absl::Status Store::writeSegment(const std::string& name, const detail::FileHeader& header, const std::string& bytes)
{
    if (absl::Status status = writeFileAtomically(name, bytes); !status.ok())
        return status;
    absl::StatusOr<std::unique_ptr<AppendFile>> file = m_files.openForAppend(path(name));
    if (!file.ok())
        return file.status();
    m_segment = std::move(*file);
    m_header = header;
    m_segmentSize = bytes.size();
    return absl::OkStatus();
}

// Writes and syncs a temporary file, then renames it, so the file exists under its name only with its whole content.
absl::Status Store::writeFileAtomically(const std::string& name, const std::string& bytes)
{
    {
        absl::StatusOr<std::unique_ptr<AppendFile>> file = m_files.openForAppend(path(temporaryName));
        if (!file.ok())
            return file.status();
        if (absl::Status status = (*file)->append(bytes); !status.ok())
            return status;
        if (absl::Status status = (*file)->sync(); !status.ok())
            return status;
    }
    if (absl::Status status = m_files.rename(path(temporaryName), path(name)); !status.ok())
        return status;
    return m_files.syncDirectory(m_folder);
}

} // namespace cicadaward
