#include "store/segment.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <optional>

namespace cicadaward::detail {

namespace {

    // CRC32C (Castagnoli).
    using Crc = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

    constexpr size_t magicSize = 8;
    // A device writes a sector as a whole, so a sector that an interrupted write did not reach still reads as zero.
    constexpr size_t sectorSize = 512;

    const char* fileMagic(FileKind kind) { return kind == FileKind::Segment ? "CWLOGSEG" : "CWSNAPSH"; }

    template <typename Number> void appendBigEndian(std::string& out, Number value)
    {
        Number big = boost::endian::native_to_big(value);
        out.append(reinterpret_cast<const char*>(&big), sizeof big);
    }

    template <typename Number> Number readBigEndian(const std::string& bytes, size_t offset)
    {
        Number value;
        std::copy_n(bytes.data() + offset, sizeof value, reinterpret_cast<char*>(&value));
        return boost::endian::big_to_native(value);
    }

    uint32_t saltedCrc(uint64_t salt, const char* data, size_t size)
    {
        Crc crc;
        crc.process_bytes(&salt, sizeof salt);
        crc.process_bytes(data, size);
        return crc.checksum();
    }

    struct Frame {
        uint64_t sequence = 0;
        uint64_t end = 0;
    };

    std::optional<Frame> parseFrameAt(const std::string& bytes, size_t offset, uint64_t salt)
    {
        if (bytes.size() - offset < frameHeaderSize)
            return std::nullopt;
        size_t checked = frameHeaderSize - sizeof(uint32_t);
        if (readBigEndian<uint32_t>(bytes, offset + checked) != saltedCrc(salt, bytes.data() + offset, checked))
            return std::nullopt;
        uint64_t length = readBigEndian<uint32_t>(bytes, offset);
        size_t start = offset + frameHeaderSize;
        if (bytes.size() - start < length)
            return std::nullopt;
        if (readBigEndian<uint32_t>(bytes, offset + 12) != saltedCrc(salt, bytes.data() + start, length))
            return std::nullopt;
        return Frame { readBigEndian<uint64_t>(bytes, offset + 4), start + length };
    }

    // True if the file ends inside the frame at `offset`, or if one of the sectors from `offset` on reads as zero and
    // so was never written.
    bool isTorn(const std::string& bytes, size_t offset, uint64_t salt)
    {
        if (bytes.size() - offset < frameHeaderSize)
            return true;
        size_t checked = frameHeaderSize - sizeof(uint32_t);
        if (readBigEndian<uint32_t>(bytes, offset + checked) == saltedCrc(salt, bytes.data() + offset, checked)
            && bytes.size() - offset - frameHeaderSize < readBigEndian<uint32_t>(bytes, offset))
            return true;
        for (size_t start = offset; start < bytes.size();) {
            size_t end = std::min(bytes.size(), (start / sectorSize + 1) * sectorSize);
            if (std::all_of(bytes.begin() + static_cast<std::ptrdiff_t>(start),
                    bytes.begin() + static_cast<std::ptrdiff_t>(end), [](char c) { return c == 0; }))
                return true;
            start = end;
        }
        return false;
    }

    // A valid frame after a corrupt one proves that the corrupt one had been synced, so it is not a torn write. Tries
    // every offset, since the length of the corrupt frame is unknown.
    bool hasFrameAfter(const std::string& bytes, size_t offset, uint64_t salt)
    {
        for (size_t i = offset + 1; i + frameHeaderSize <= bytes.size(); ++i) {
            if (parseFrameAt(bytes, i, salt))
                return true;
        }
        return false;
    }

    absl::Status dataLossError(const std::string& name, size_t offset, const std::string& what)
    {
        return absl::DataLossError(name + ": offset " + std::to_string(offset) + ": " + what);
    }

    absl::StatusOr<FileHeader> readHeader(const std::string& name, const std::string& bytes, FileKind kind)
    {
        if (bytes.size() < fileHeaderSize)
            return dataLossError(name, bytes.size(), "file header is incomplete");
        if (bytes.compare(0, magicSize, fileMagic(kind)) != 0)
            return dataLossError(name, 0, "not a store file of this kind");
        size_t checked = fileHeaderSize - sizeof(uint32_t);
        if (readBigEndian<uint32_t>(bytes, checked) != saltedCrc(0, bytes.data(), checked))
            return dataLossError(name, 0, "file header does not match its checksum");
        uint32_t version = readBigEndian<uint32_t>(bytes, 8);
        if (version != formatVersion)
            return absl::FailedPreconditionError(
                name + ": format version " + std::to_string(version) + " is not supported");
        FileHeader header;
        header.kind = kind;
        header.salt = readBigEndian<uint64_t>(bytes, 12);
        header.instance = InstanceId(readBigEndian<uint64_t>(bytes, 20));
        header.firstSequence = readBigEndian<uint64_t>(bytes, 28);
        return header;
    }

} // namespace

std::string encodeFileHeader(const FileHeader& header)
{
    std::string out(fileMagic(header.kind), magicSize);
    appendBigEndian<uint32_t>(out, formatVersion);
    appendBigEndian<uint64_t>(out, header.salt);
    appendBigEndian<uint64_t>(out, header.instance.value());
    appendBigEndian<uint64_t>(out, header.firstSequence);
    appendBigEndian<uint32_t>(out, 0); // reserved
    appendBigEndian<uint32_t>(out, saltedCrc(0, out.data(), out.size()));
    return out;
}

std::string encodeFrame(const FileHeader& header, uint64_t sequence, const std::string& payload)
{
    std::string out;
    out.reserve(frameHeaderSize + payload.size());
    appendBigEndian<uint32_t>(out, static_cast<uint32_t>(payload.size()));
    appendBigEndian<uint64_t>(out, sequence);
    appendBigEndian<uint32_t>(out, saltedCrc(header.salt, payload.data(), payload.size()));
    appendBigEndian<uint32_t>(out, saltedCrc(header.salt, out.data(), out.size()));
    return out + payload;
}

absl::StatusOr<FileScan> scanFile(const std::string& name, const std::string& bytes, FileKind kind, bool allowTornTail)
{
    absl::StatusOr<FileHeader> header = readHeader(name, bytes, kind);
    if (!header.ok())
        return header.status();
    FileScan scan;
    scan.header = *header;
    size_t offset = fileHeaderSize;
    uint64_t sequence = header->firstSequence;
    while (offset < bytes.size()) {
        std::optional<Frame> frame = parseFrameAt(bytes, offset, header->salt);
        if (!frame) {
            if (allowTornTail && isTorn(bytes, offset, header->salt) && !hasFrameAfter(bytes, offset, header->salt))
                break;
            return dataLossError(name, offset, "frame does not match its checksum");
        }
        if (frame->sequence != sequence)
            return dataLossError(name, offset, "frame is out of sequence");
        scan.payloads.push_back(bytes.substr(offset + frameHeaderSize, frame->end - offset - frameHeaderSize));
        offset = frame->end;
        ++sequence;
    }
    return scan;
}

} // namespace cicadaward::detail
