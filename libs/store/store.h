// Durable state of a control instance in one folder: append-only segments and a snapshot. An append is one frame that
// is synced before write() returns; appending is sequential, so one fsync is the whole cost.
//
//     PosixFileSystem files;
//     absl::StatusOr<std::unique_ptr<Store>> store = Store::open(files, "data/log", random);
//     if (!store.ok())
//         return store.status();
//     Raft raft(options, clock, random, (*store)->takeContents());
//     ...
//     if (absl::Status status = (*store)->write(persist.batch); !status.ok())
//         stop(status); // the store refuses everything from now on
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
    uint64_t segmentBytes = 16 << 20; // a new segment is started beyond this size
    size_t maxEntryBytes = 1 << 20; // largest data of one entry
    size_t maxFrameBytes = 2 << 20; // entries of one frame; a larger batch takes several frames and syncs
    size_t maxSnapshotBytes = 64 << 20; // largest data of a snapshot
    InstanceId instanceId; // of a folder that is created; drawn at random when zero
};

class Store {
public:
    // Creates the folder if it is missing, takes its lock, reads everything, cuts off a torn tail, and writes the log
    // to a new segment. Damage is DataLoss with file and offset, a taken lock FailedPrecondition. `random` draws the
    // instance id of a new folder, so its seed must come from the system's entropy.
    static absl::StatusOr<std::unique_ptr<Store>> open(
        FileSystem& files, std::string folder, Random& random, StoreOptions options = {});

    // What was found on open; moved out, so only the first call is useful.
    StoreContents takeContents() { return std::move(m_contents); }
    InstanceId instance() const { return m_instance; }

    // Makes the batch durable. InvalidArgument (too large, or a snapshot without state) changes nothing. After any
    // other error the store has failed: what is on disk is unknown, and every further call returns that error.
    absl::Status write(const StoreBatch& batch);

    // The error that made the store fail, or OK.
    const absl::Status& failure() const { return m_failure; }

private:
    Store(FileSystem& files, std::string folder, Random& random, StoreOptions options);

    std::string path(const std::string& name) const { return m_folder + "/" + name; }
    absl::Status load();
    absl::Status loadSnapshot(const std::vector<std::string>& names);
    absl::Status loadSegments();
    absl::StatusOr<detail::FileScan> readSegment(const std::string& name);
    absl::Status replayFrame(const std::string& name, const std::string& payload);
    absl::Status trimLogToSnapshot();
    absl::Status removeObsoleteFiles();
    absl::Status validateBatch(const StoreBatch& batch) const;
    absl::Status appendBatch(const StoreBatch& batch);
    absl::Status writeSnapshot(const LogSnapshot& snapshot);
    absl::Status startSegment(const StoreBatch& checkpoint, bool reset);
    absl::Status writeFileAtomically(const std::string& name, const std::string& bytes);
    std::vector<std::string> encodeFrames(const detail::FileHeader& header, const StoreBatch& batch, bool reset);

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
    std::string m_snapshotName; // empty when there is none
    std::string m_resetSegment; // the newest segment that makes all earlier ones obsolete
    InstanceId m_instance;
    StoreContents m_contents;
    absl::Status m_failure;
};

} // namespace cicadaward
