#include "cluster/fragments.h"

#include <algorithm>
#include <zlib.h>

namespace cicadaward::cluster {

namespace {

    // magic 2, flags 1, number 4, index 2, count 2, big endian. A request has no count, so that an earlier version
    // refuses it; the indexes that it asks for follow, 2 bytes each.
    constexpr size_t headerBytes = 11;
    constexpr uint16_t fragmentMagic = 0xC1F2;
    constexpr uint8_t compressedFlag = 1;
    constexpr uint8_t requestFlag = 2;
    constexpr size_t maxFragments = 2048;
    constexpr size_t maxPartialMessages = 512;
    constexpr size_t maxPartialBytes = 4 << 20;
    // Longer than the way of a burst and its answer, so that few fragments are asked for that are still on their way.
    constexpr Duration minRequestInterval = std::chrono::milliseconds(20);

    void appendUint16(std::string& out, uint16_t value)
    {
        out.push_back(static_cast<char>(value >> 8));
        out.push_back(static_cast<char>(value));
    }

    uint16_t readUint16(const uint8_t* data) { return static_cast<uint16_t>((data[0] << 8) | data[1]); }

    std::string header(uint8_t flags, uint32_t number, size_t index, size_t count)
    {
        std::string bytes;
        appendUint16(bytes, fragmentMagic);
        bytes.push_back(static_cast<char>(flags));
        appendUint16(bytes, static_cast<uint16_t>(number >> 16));
        appendUint16(bytes, static_cast<uint16_t>(number));
        appendUint16(bytes, static_cast<uint16_t>(index));
        appendUint16(bytes, static_cast<uint16_t>(count));
        return bytes;
    }

    uint32_t messageNumber(const uint8_t* data)
    {
        return (uint32_t(readUint16(data + 3)) << 16) | readUint16(data + 5);
    }

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
        std::string datagram = header(flags, number, index, count);
        datagram.append(bytes, index * maxFragmentPayloadBytes, maxFragmentPayloadBytes);
        datagrams.push_back(std::move(datagram));
    }
    return datagrams;
}

std::string FragmentRequest::encode() const
{
    std::string datagram = header(requestFlag, number, 0, 0);
    for (uint16_t index : indexes)
        appendUint16(datagram, index);
    return datagram;
}

std::optional<FragmentRequest> FragmentRequest::decode(const uint8_t* data, size_t size)
{
    if (!Assembler::isFragment(data, size) || data[2] != requestFlag)
        return std::nullopt;
    FragmentRequest request;
    request.number = messageNumber(data);
    for (size_t at = headerBytes; at + 1 < size && request.indexes.size() < maxRequestedFragments; at += 2)
        request.indexes.push_back(readUint16(data + at));
    return request;
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
    size_t index = readUint16(data + 7);
    size_t count = readUint16(data + 9);
    std::string part(reinterpret_cast<const char*>(data) + headerBytes, size - headerBytes);
    if (count == 0 || count > maxFragments || index >= count || part.size() > maxFragmentPayloadBytes
        || (part.empty() && count > 1))
        return std::nullopt;
    std::string whole;
    if (count == 1) {
        whole = std::move(part);
    } else {
        evictPartialMessages();
        PartialMessage& partial = begin({ sender, messageNumber(data) }, count);
        if (partial.parts.size() != count || !partial.parts[index].empty())
            return std::nullopt;
        setBytes(partial, partial.bytes + part.size());
        partial.parts[index] = std::move(part);
        partial.requestInterval = minRequestInterval;
        partial.nextRequest = m_clock.now() + minRequestInterval;
        if (--partial.missing > 0)
            return std::nullopt;
        whole = complete(partial);
    }
    if (!compressed)
        return whole;
    std::optional<std::string> message = decompress(whole, maxMessageBytes);
    m_failures.damaged += message ? 0 : 1;
    return message;
}

Assembler::PartialMessage& Assembler::begin(const Key& key, size_t count)
{
    auto [position, isNew] = m_partialMessages.try_emplace(key);
    PartialMessage& partial = position->second;
    if (isNew) {
        partial.parts.resize(count);
        partial.missing = count;
        partial.started = m_clock.now();
        setBytes(partial, count * sizeof(std::string));
    }
    return partial;
}

std::string Assembler::complete(PartialMessage& partial)
{
    std::string whole;
    for (const std::string& part : partial.parts)
        whole += part;
    partial.parts = {};
    setBytes(partial, 0);
    return whole;
}

void Assembler::setBytes(PartialMessage& partial, size_t bytes)
{
    m_bytes += bytes - partial.bytes;
    partial.bytes = bytes;
}

std::vector<std::pair<Endpoint, FragmentRequest>> Assembler::dueRequests()
{
    evictPartialMessages();
    Time now = m_clock.now();
    std::vector<std::pair<Endpoint, FragmentRequest>> requests;
    for (auto& [key, partial] : m_partialMessages) {
        if (partial.missing == 0 || now < partial.nextRequest)
            continue;
        requests.emplace_back(key.first, requestFor(key.second, partial));
        partial.nextRequest = now + partial.requestInterval;
        partial.requestInterval *= 2;
    }
    return requests;
}

FragmentRequest Assembler::requestFor(uint32_t number, const PartialMessage& partial) const
{
    FragmentRequest request;
    request.number = number;
    for (size_t i = 0; i < partial.parts.size() && request.indexes.size() < maxRequestedFragments; ++i) {
        if (partial.parts[i].empty())
            request.indexes.push_back(static_cast<uint16_t>(i));
    }
    return request;
}

std::optional<Time> Assembler::nextRequest() const
{
    std::optional<Time> next;
    for (const auto& [key, partial] : m_partialMessages) {
        if (partial.missing != 0)
            next = std::min(next.value_or(partial.nextRequest), partial.nextRequest);
    }
    return next;
}

void Assembler::evictPartialMessages()
{
    Time now = m_clock.now();
    for (auto i = m_partialMessages.begin(); i != m_partialMessages.end();) {
        auto next = std::next(i);
        if (now - i->second.started > partialMessageTimeout)
            evict(i);
        i = next;
    }
    evictOldest();
}

void Assembler::evictOldest()
{
    while (m_partialMessages.size() >= maxPartialMessages || m_bytes > maxPartialBytes) {
        evict(std::min_element(m_partialMessages.begin(), m_partialMessages.end(),
            [](const auto& a, const auto& b) { return a.second.started < b.second.started; }));
    }
}

void Assembler::evict(std::map<Key, PartialMessage>::iterator message)
{
    m_failures.incomplete += message->second.missing != 0 ? 1 : 0;
    setBytes(message->second, 0);
    m_partialMessages.erase(message);
}

} // namespace cicadaward::cluster
