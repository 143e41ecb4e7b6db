// Format of segment and snapshot files: a header, then frames.
//
//     header (44 bytes): magic, format version, salt, instance id, sequence number of the first frame, CRC32C
//     frame: length, sequence number, CRC32C of the payload, CRC32C of this frame header (20 bytes), then the payload
// Numbers are big endian. Each frame of a segment is synced before the next one is appended, so only the last frame of
// the last segment can be torn. Each file has a random salt that enters the CRCs of its frames, so the scan for a valid
// frame after a corrupt one never mistakes a payload that contains a copy of another frame for a frame.
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

// Parses the content of a file. With `allowTornTail`, an incomplete last frame that an interrupted write explains is
// ignored. Any other corruption is DataLoss with `name` and the offset; an unknown format version is
// FailedPrecondition.
absl::StatusOr<FileScan> scanFile(const std::string& name, const std::string& bytes, FileKind kind, bool allowTornTail);

} // namespace cicadaward::detail
