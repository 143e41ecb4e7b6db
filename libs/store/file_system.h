// Interface to the file operations of the store. Tests replace it by a file system that loses unsynced bytes, tears
// writes and returns errors. Paths are used as given by the caller. Not thread-safe.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cicadaward {

// A file that is open for appending. Destruction closes it.
class AppendFile {
public:
    virtual ~AppendFile() = default;
    // Writes all bytes at the end of the file. After an error, a part of them may be in the file.
    virtual absl::Status append(const std::string& bytes) = 0;
    // Returns OK only if all bytes of the file are on the device. After an error the durable content is unknown.
    virtual absl::Status sync() = 0;
};

// An exclusive lock. Destruction releases it.
class FileLock {
public:
    virtual ~FileLock() = default;
};

class FileSystem {
public:
    virtual ~FileSystem() = default;
    // Creates the directory if it is missing; its parent must exist.
    virtual absl::Status createDirectory(const std::string& path) = 0;
    // Returns the sorted names of the files in a directory.
    virtual absl::StatusOr<std::vector<std::string>> list(const std::string& directory) = 0;
    virtual absl::StatusOr<std::string> read(const std::string& path) = 0;
    // Creates the file if it is missing; does not truncate an existing file.
    virtual absl::StatusOr<std::unique_ptr<AppendFile>> openForAppend(const std::string& path) = 0;
    virtual absl::Status rename(const std::string& from, const std::string& to) = 0;
    virtual absl::Status remove(const std::string& path) = 0;
    // Makes creations, renames and removals in the directory durable.
    virtual absl::Status syncDirectory(const std::string& path) = 0;
    // Returns FailedPrecondition if another process, or another FileLock of this process, holds the lock.
    virtual absl::StatusOr<std::unique_ptr<FileLock>> lock(const std::string& path) = 0;
};

} // namespace cicadaward
