// FileSystem on the files of the operating system.
#pragma once

#include "store/file_system.h"

namespace cicadaward {

class PosixFileSystem final : public FileSystem {
public:
    absl::Status createDirectory(const std::string& path) override;
    absl::StatusOr<std::vector<std::string>> list(const std::string& directory) override;
    absl::StatusOr<std::string> read(const std::string& path) override;
    absl::StatusOr<std::unique_ptr<AppendFile>> openForAppend(const std::string& path) override;
    absl::Status rename(const std::string& from, const std::string& to) override;
    absl::Status remove(const std::string& path) override;
    absl::Status syncDirectory(const std::string& path) override;
    absl::StatusOr<std::unique_ptr<FileLock>> lock(const std::string& path) override;
};

} // namespace cicadaward
