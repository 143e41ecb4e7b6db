// Durable state of a control instance in one folder: append-only segment files and a snapshot file. write() appends one
// frame and syncs it before it returns, so it costs one sequential write and one fsync.
//
//     PosixFileSystem files;
//     absl::StatusOr<std::unique_ptr<Store>> store = Store::open(files, "data/log", random);
//     if (!store.ok())
//         return store.status();
//     Raft raft(options, clock, random, (*store)->takeContents());
//     ...
//     if (absl::Status status = (*store)->write(persist.batch); !status.ok())
//         stop(status); // every further write() returns the same error
#pragma once

#include "core/random.h"
#include "store/file_system.h"
#include "store/records.h"
#include "store/segment.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>

namespace cicadaward {

struct StoreOptions {
    uint64_t segmentBytes = 4 << 20; // a new segment is started when the current one reaches this size
    size_t maxEntryBytes = 1 << 20; // data of one entry
    size_t maxFrameBytes
        = 2 << 20; // data of the entries in one frame; a larger batch takes several frames, each with its own fsync
    size_t maxSnapshotBytes = 64 << 20; // data of a snapshot
    InstanceId instanceId; // of a folder that is created; zero: drawn at random
};

class Store {
public:
    // Creates the folder if it is missing, locks it, reads all files, drops a torn tail, and writes the newest segment
    // again, so it needs space for one segment. Returns DataLoss with file and offset for corrupt files,
    // FailedPrecondition if the folder is locked. `random` draws the instance id of a new folder, so its seed must come
    // from the system's entropy.
    static absl::StatusOr<std::unique_ptr<Store>> open(
        FileSystem& files, std::string folder, Random& random, StoreOptions options = {});

    // The state recovered by open(). It is moved out, so only the first call returns it.
    StoreContents takeContents() { return std::move(m_contents); }
    InstanceId instance() const { return m_instance; }

    // Makes the batch durable. Returns InvalidArgument, without any effect, for a batch that is too large, has a
    // snapshot without state, or has a snapshot older than the stored one. After any other error the content on disk is
    // unknown, and every further call returns that error.
    absl::Status write(const StoreBatch& batch);

    // The error that every call of write() returns since the store failed, or OK.
    const absl::Status& failure() const { return m_failure; }

private:
    Store(FileSystem& files, std::string folder, Random& random, StoreOptions options);

    std::string path(const std::string& name) const { return m_folder + "/" + name; }
    absl::Status load();
    absl::Status loadSnapshot(const std::vector<std::string>& names);
    absl::Status loadSegments();
    absl::StatusOr<detail::FileScan> readSegment(const std::string& name);
    absl::Status replayFrame(const std::string& name, const std::string& payload);
    absl::StatusOr<bool> trimLogToSnapshot();
    absl::Status removeObsoleteFiles();
    absl::Status validateBatch(const StoreBatch& batch) const;
    absl::Status appendBatch(const StoreBatch& batch);
    absl::Status writeSnapshot(const LogSnapshot& snapshot);
    absl::Status startSegment(const StoreBatch& checkpoint, bool reset);
    absl::Status rewriteNewestSegment();
    absl::Status writeSegment(const std::string& name, const detail::FileHeader&, const std::string& bytes);
    absl::Status writeFileAtomically(const std::string& name, const std::string& bytes);
    std::vector<std::string> encodePayloads(const StoreBatch& batch, bool reset) const;

    FileSystem& m_files;
    std::string m_folder;
    Random& m_random;
    StoreOptions m_options;
    std::unique_ptr<FileLock> m_lock;
    std::unique_ptr<AppendFile> m_segment;
    detail::FileHeader m_header; // of the open segment
    uint64_t m_segmentSize = 0;
    uint64_t m_nextSequence = 1;
    std::vector<std::string> m_segmentNames;
    std::string m_snapshotName; // empty if there is none
    std::string m_resetSegment; // newest segment that starts with a reset frame; all earlier segments are obsolete
    InstanceId m_instance;
    detail::FileScan m_newestSegment; // while the store is opened
    StoreContents m_contents;
    absl::Status m_failure;
};

} // namespace cicadaward
