#include "cluster/fragments.h"

#include <zlib.h>

namespace cicadaward::cluster {

namespace {

    // magic 2, flags 1, number 4, index 2, count 2, big endian
    constexpr size_t headerBytes = 11;
    constexpr uint16_t fragmentMagic = 0xC1F2;
    constexpr uint8_t compressedFlag = 1;
    constexpr size_t maxFragments = 2048;
    constexpr size_t maxPartialMessages = 128;
    constexpr size_t maxPartialBytes = 4 << 20;
    constexpr Duration partialMessageTimeout = std::chrono::seconds(2);

    void appendUint16(std::string& out, uint16_t value)
    {
        out.push_back(static_cast<char>(value >> 8));
        out.push_back(static_cast<char>(value));
    }

    uint16_t readUint16(const uint8_t* data) { return static_cast<uint16_t>((data[0] << 8) | data[1]); }

} // namespace

std::string compress(const std::string& bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string out(size, '\0');
    compress2(reinterpret_cast<Bytef*>(out.data()), &size, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(),
        Z_BEST_SPEED);
    out.resize(size);
    return out;
}

std::optional<std::string> decompress(const std::string& bytes, size_t limit)
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK)
        return std::nullopt;
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string out;
    char chunk[16384];
    int result = Z_OK;
    while (result == Z_OK && out.size() <= limit) {
        stream.next_out = reinterpret_cast<Bytef*>(chunk);
        stream.avail_out = sizeof(chunk);
        result = inflate(&stream, Z_NO_FLUSH);
        out.append(chunk, sizeof(chunk) - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result != Z_STREAM_END || out.size() > limit)
        return std::nullopt;
    return out;
}

absl::StatusOr<std::vector<std::string>> Fragmenter::split(const std::string& message)
{
    if (message.size() > maxMessageBytes)
        return absl::ResourceExhaustedError("the message has " + std::to_string(message.size()) + " bytes");
    uint8_t flags = message.size() > compressionThreshold ? compressedFlag : 0;
    const std::string bytes = flags ? compress(message) : message;
    size_t count = std::max<size_t>(1, (bytes.size() + maxFragmentPayloadBytes - 1) / maxFragmentPayloadBytes);
    if (count > maxFragments)
        return absl::ResourceExhaustedError("the message has " + std::to_string(count) + " fragments");
    uint32_t number = ++m_number;
    std::vector<std::string> datagrams;
    for (size_t index = 0; index < count; ++index) {
        std::string datagram;
        appendUint16(datagram, fragmentMagic);
        datagram.push_back(static_cast<char>(flags));
        appendUint16(datagram, static_cast<uint16_t>(number >> 16));
        appendUint16(datagram, static_cast<uint16_t>(number));
        appendUint16(datagram, static_cast<uint16_t>(index));
        appendUint16(datagram, static_cast<uint16_t>(count));
        datagram.append(bytes, index * maxFragmentPayloadBytes, maxFragmentPayloadBytes);
        datagrams.push_back(std::move(datagram));
    }
    return datagrams;
}

bool Assembler::isFragment(const uint8_t* data, size_t size)
{
    return size >= headerBytes && readUint16(data) == fragmentMagic;
}

std::optional<std::string> Assembler::add(Endpoint sender, const uint8_t* data, size_t size)
{
    if (!isFragment(data, size))
        return std::nullopt;
    bool compressed = (data[2] & compressedFlag) != 0;
    uint32_t number = (uint32_t(readUint16(data + 3)) << 16) | readUint16(data + 5);
    size_t index = readUint16(data + 7);
    size_t count = readUint16(data + 9);
    std::string part(reinterpret_cast<const char*>(data) + headerBytes, size - headerBytes);
    if (count == 0 || count > maxFragments || index >= count || part.size() > maxFragmentPayloadBytes)
        return std::nullopt;
    std::string whole;
    if (count == 1) {
        whole = std::move(part);
    } else {
        evictPartialMessages();
        auto key = std::make_pair(sender, number);
        PartialMessage& partial = m_partialMessages[key];
        if (partial.parts.empty()) {
            partial.parts.resize(count);
            partial.missing = count;
            partial.started = m_clock.now();
        }
        if (partial.parts.size() != count || !partial.parts[index].empty())
            return std::nullopt;
        m_bytes += part.size();
        partial.parts[index] = std::move(part);
        if (--partial.missing > 0)
            return std::nullopt;
        for (const std::string& piece : partial.parts)
            whole += piece;
        m_bytes -= whole.size();
        m_partialMessages.erase(key);
    }
    if (!compressed)
        return whole;
    std::optional<std::string> message = decompress(whole, maxMessageBytes);
    m_failures.damaged += message ? 0 : 1;
    return message;
}

void Assembler::evictPartialMessages()
{
    Time now = m_clock.now();
    bool full = m_partialMessages.size() >= maxPartialMessages || m_bytes > maxPartialBytes;
    for (auto i = m_partialMessages.begin(); i != m_partialMessages.end();) {
        if (!full && now - i->second.started <= partialMessageTimeout) {
            ++i;
            continue;
        }
        ++m_failures.incomplete;
        for (const std::string& part : i->second.parts)
            m_bytes -= part.size();
        i = m_partialMessages.erase(i);
    }
}

} // namespace cicadaward::cluster
