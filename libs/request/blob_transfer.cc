#include "request/blob_transfer.h"

#include <algorithm>

namespace cicadaward::request {

StoredBlob BlobTransfer::store(std::string bytes, Duration lifetime)
{
    StoredBlob stored;
    stored.holder = m_view.config.self;
    stored.process = m_view.config.process;
    stored.digest = bytesDigest(bytes);
    stored.size = bytes.size();
    if (bytes.size() <= maxInlineBytes) {
        stored.bytes = std::move(bytes);
        return stored;
    }
    if (bytes.size() > maxBlobBytes || m_bytes + bytes.size() > m_view.config.maxRecordBytes) {
        m_out.count(RequestCounter::AnswerDropped);
        return {};
    }
    stored.blob = m_view.random.next();
    m_bytes += bytes.size();
    m_expiry[{ m_view.now() + lifetime, stored.blob }] = true;
    m_blobs[stored.blob] = { std::move(bytes), m_view.now() + lifetime };
    return stored;
}

void BlobTransfer::fetch(uint64_t tag, const StoredBlob& stored, Time deadline)
{
    if (!stored.bytes.empty())
        return finish(tag, true, stored.bytes);
    if (stored.holder == m_view.config.self) {
        auto found = m_blobs.find(stored.blob);
        return finish(tag, found != m_blobs.end(), found == m_blobs.end() ? "" : found->second.bytes);
    }
    if (stored.size == 0 || stored.size > maxBlobBytes || m_fetches.size() >= maxFetches
        || !m_view.isPresent(stored.holder, stored.process))
        return finish(tag, false, "");
    Fetch& fetch = m_fetches[tag];
    fetch.stored = stored;
    fetch.deadline = deadline;
    fetch.bytes.resize(stored.size);
    fetch.missingParts = (stored.size + fetchPartBytes - 1) / fetchPartBytes;
    fetch.received.resize(fetch.missingParts);
    fetch.retransmit.start(m_view);
    while (fetch.requestedParts < std::min(maxPartsInFlight, fetch.missingParts))
        requestPart(fetch, fetch.requestedParts++);
}

void BlobTransfer::requestPart(const Fetch& fetch, size_t part)
{
    m_out.send(fetch.stored.holder, FetchRequest { fetch.stored.blob, part * fetchPartBytes });
}

void BlobTransfer::finish(uint64_t tag, bool isComplete, std::string bytes)
{
    m_fetchResults.push_back({ tag, isComplete, std::move(bytes) });
    m_fetches.erase(tag);
}

void BlobTransfer::on(MemberId from, const FetchRequest& message)
{
    FetchReply reply { message.blob, message.offset, false, "" };
    auto found = m_blobs.find(message.blob);
    if (found != m_blobs.end() && message.offset < found->second.bytes.size()) {
        reply.found = true;
        reply.bytes = found->second.bytes.substr(message.offset, fetchPartBytes);
    }
    m_out.send(from, std::move(reply));
}

void BlobTransfer::on(MemberId from, const FetchReply& message)
{
    for (auto& [tag, fetch] : m_fetches) {
        if (fetch.stored.blob != message.blob || fetch.stored.holder != from)
            continue;
        size_t part = message.offset / fetchPartBytes;
        if (!message.found)
            return finish(tag, false, "");
        if (message.offset % fetchPartBytes != 0 || part >= fetch.received.size()
            || message.bytes.size() != std::min<uint64_t>(fetchPartBytes, fetch.stored.size - message.offset))
            return m_out.count(RequestCounter::PartialAnswer);
        if (fetch.received[part])
            return;
        fetch.received[part] = true;
        std::copy(
            message.bytes.begin(), message.bytes.end(), fetch.bytes.begin() + static_cast<ptrdiff_t>(message.offset));
        if (fetch.requestedParts < fetch.received.size())
            requestPart(fetch, fetch.requestedParts++);
        if (--fetch.missingParts > 0)
            return;
        bool whole = bytesDigest(fetch.bytes) == fetch.stored.digest;
        if (!whole)
            m_out.count(RequestCounter::PartialAnswer);
        return finish(tag, whole, whole ? std::move(fetch.bytes) : "");
    }
    m_out.count(RequestCounter::StaleMessage);
}

void BlobTransfer::tick()
{
    std::vector<uint64_t> failed;
    for (auto& [tag, fetch] : m_fetches) {
        if (m_view.now() >= fetch.deadline || !m_view.isPresent(fetch.stored.holder, fetch.stored.process)) {
            failed.push_back(tag);
        } else if (fetch.retransmit.fireIfDue(m_view)) {
            size_t sent = 0;
            for (size_t part = 0; part < fetch.requestedParts && sent < maxPartsInFlight; ++part) {
                if (!fetch.received[part]) {
                    requestPart(fetch, part);
                    ++sent;
                }
            }
        }
    }
    for (uint64_t tag : failed)
        finish(tag, false, "");
    while (!m_expiry.empty() && m_expiry.begin()->first.first <= m_view.now()) {
        auto found = m_blobs.find(m_expiry.begin()->first.second);
        m_bytes -= found->second.bytes.size();
        m_blobs.erase(found);
        m_expiry.erase(m_expiry.begin());
    }
}

} // namespace cicadaward::request
