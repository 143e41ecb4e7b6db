// Format of a store file: a header, then frames.
//
//     header (44 bytes): magic, format version, salt, instance id, sequence number of the first frame, CRC32C
//     frame: length, sequence number, CRC32C of the payload, CRC32C of this frame header (20 bytes), then the payload
//
// Numbers are big endian. Every frame is synced before the next one is written, so only the last frame of the last
// segment can be torn. The salt is random for each file and enters every CRC, so a payload that contains a copy of
// another frame is never taken for one.
#pragma once

#include "store/records.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace cicadaward::detail {

constexpr size_t fileHeaderSize = 44;
constexpr size_t frameHeaderSize = 20;
constexpr uint32_t formatVersion = 1;

enum class FileKind : uint8_t { Segment, Snapshot };

struct FileHeader {
    FileKind kind = FileKind::Segment;
    uint64_t salt = 0;
    InstanceId instance;
    uint64_t firstSequence = 0;
};

std::string encodeFileHeader(const FileHeader& header);
std::string encodeFrame(const FileHeader& header, uint64_t sequence, const std::string& payload);

struct FileScan {
    FileHeader header;
    std::vector<std::string> payloads;
};

// Reads a whole file. With `allowTornTail`, a last frame that an interrupted write can explain is left out. Everything
// else that does not check is DataLoss with `name` and the offset; an unknown version is FailedPrecondition.
absl::StatusOr<FileScan> scanFile(const std::string& name, const std::string& bytes, FileKind kind, bool allowTornTail);

} // namespace cicadaward::detail
