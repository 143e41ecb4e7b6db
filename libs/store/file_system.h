// The file operations that the store needs, so that a test can run it on a file system that loses unsynced bytes,
// tears writes and fails. All paths are as given by the caller; nothing here is safe for use by several threads.
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
    // Writes all bytes at the end of the file or returns an error; part of the bytes may then be in the file.
    virtual absl::Status append(const std::string& bytes) = 0;
    // Returns OK only when all bytes of the file are on the device. After an error the content is unknown.
    virtual absl::Status sync() = 0;
};

// Held until destruction.
class FileLock {
public:
    virtual ~FileLock() = default;
};

class FileSystem {
public:
    virtual ~FileSystem() = default;
    // Creates the directory if it is missing; its parent must exist.
    virtual absl::Status createDirectory(const std::string& path) = 0;
    // Names of the files in a directory, sorted.
    virtual absl::StatusOr<std::vector<std::string>> list(const std::string& directory) = 0;
    virtual absl::StatusOr<std::string> read(const std::string& path) = 0;
    // Creates the file if it is missing and leaves an existing one as it is.
    virtual absl::StatusOr<std::unique_ptr<AppendFile>> openForAppend(const std::string& path) = 0;
    virtual absl::Status rename(const std::string& from, const std::string& to) = 0;
    virtual absl::Status remove(const std::string& path) = 0;
    // Makes creations, renames and removals in the directory durable.
    virtual absl::Status syncDirectory(const std::string& path) = 0;
    // Fails with FailedPrecondition when another process (or another lock of this one) has it.
    virtual absl::StatusOr<std::unique_ptr<FileLock>> lock(const std::string& path) = 0;
};

} // namespace cicadaward
