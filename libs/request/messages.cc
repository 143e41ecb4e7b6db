#include "request/messages.h"

#include "core/hash.h"
#include "directory/codec.h"
#include "request/agent_requests.h"

MSGPACK_ADD_ENUM(cicadaward::request::RecordState)
MSGPACK_ADD_ENUM(cicadaward::request::ClaimVerdict)
MSGPACK_ADD_ENUM(cicadaward::request::RunOutcome)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {
        using namespace cicadaward::request; // NOLINT(google-build-using-namespace)

        CICADAWARD_CODEC(Digest, 2, v.high, v.low)
        CICADAWARD_CODEC(ClaimToken, 3, v.member, v.process, v.nonce)
        CICADAWARD_CODEC(ClaimOrder, 2, v.version, v.sequence)
        CICADAWARD_CODEC(StoredBlob, 6, v.bytes, v.holder, v.process, v.blob, v.size, v.digest)
        CICADAWARD_CODEC(Record, 7, v.key, v.digest, v.token, v.order, v.state, v.ageMs, v.answer)
        CICADAWARD_CODEC(ClaimRequest, 4, v.service, v.key, v.digest, v.token)
        CICADAWARD_CODEC(ClaimReply, 6, v.key, v.token, v.version, v.verdict, v.order, v.answer)
        CICADAWARD_CODEC(RecordCopy, 3, v.service, v.version, v.record)
        CICADAWARD_CODEC(RecordCopyAck, 4, v.key, v.token, v.state, v.stored)
        CICADAWARD_CODEC(ClaimResult, 2, v.service, v.record)
        CICADAWARD_CODEC(ClaimResultAck, 2, v.key, v.token)
        CICADAWARD_CODEC(ClaimProbe, 2, v.key, v.token)
        CICADAWARD_CODEC(SyncRequest, 6, v.service, v.session, v.version, v.buckets, v.fromBucket, v.fromKey)
        CICADAWARD_CODEC(RecordLoss, 2, v.member, v.ageMs)
        CICADAWARD_CODEC(SyncReply, 6, v.session, v.fromBucket, v.fromKey, v.last, v.records, v.losses)
        CICADAWARD_CODEC(RunRequest, 6, v.attempt, v.process, v.token, v.order, v.request, v.remainingMs)
        CICADAWARD_CODEC(RunResult, 3, v.attempt, v.outcome, v.answer)
        CICADAWARD_CODEC(RunCancel, 1, v.attempt)
        CICADAWARD_CODEC(FetchRequest, 2, v.blob, v.offset)
        CICADAWARD_CODEC(FetchReply, 4, v.blob, v.offset, v.found, v.bytes)
        CICADAWARD_CODEC(Answer, 3, v.status, v.headers, v.body)

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

namespace cicadaward::request {

namespace detail {

    // The wire form of Request. `timeout` is replaced by RunRequest::remainingMs, and `keepAlive` belongs to the
    // caller's connection.
    struct WireRequest {
        std::string method, path, body, key, traceParent;
        HeaderList headers;
        bool repeatable = false;
        uint32_t caller = 0;
        MSGPACK_DEFINE_ARRAY(method, path, body, key, traceParent, headers, repeatable, caller)
    };

    template <size_t I = 0> bool decodeAlternative(size_t type, const std::string& body, PeerMessage& message)
    {
        if constexpr (I < std::variant_size_v<PeerMessage>) {
            if (type == I)
                return decodeMessage(body, message.emplace<I>());
            return decodeAlternative<I + 1>(type, body, message);
        } else {
            return false;
        }
    }

    bool isValid(const Record& record)
    {
        return record.key.size() <= maxKeyBytes && record.state <= RecordState::Answered
            && record.answer.bytes.size() <= maxPeerMessageBytes;
    }

    bool isValid(const PeerMessage& message)
    {
        if (const auto* m = std::get_if<ClaimRequest>(&message))
            return m->key.size() <= maxKeyBytes;
        if (const auto* m = std::get_if<ClaimReply>(&message))
            return m->verdict <= ClaimVerdict::Full;
        if (const auto* m = std::get_if<RecordCopy>(&message))
            return isValid(m->record);
        if (const auto* m = std::get_if<RecordCopyAck>(&message))
            return m->state <= RecordState::Answered;
        if (const auto* m = std::get_if<ClaimResult>(&message))
            return isValid(m->record);
        if (const auto* m = std::get_if<RunResult>(&message))
            return m->outcome <= RunOutcome::Unknown;
        if (const auto* m = std::get_if<SyncReply>(&message)) {
            for (const Record& record : m->records) {
                if (!isValid(record))
                    return false;
            }
        }
        return true;
    }

} // namespace detail

std::string encodePeerMessage(const PeerMessage& message)
{
    std::string bytes(1, static_cast<char>(message.index()));
    std::visit([&](const auto& m) { bytes += encodeMessage(m); }, message);
    return bytes;
}

bool decodePeerMessage(const std::string& bytes, PeerMessage& message)
{
    if (bytes.empty() || bytes.size() > maxPeerMessageBytes)
        return false;
    return detail::decodeAlternative(static_cast<unsigned char>(bytes[0]), bytes.substr(1), message)
        && detail::isValid(message);
}

std::string encodeAnswer(const Answer& answer) { return encodeMessage(answer); }

bool decodeAnswer(const std::string& bytes, Answer& answer) { return decodeMessage(bytes, answer); }

std::string encodeRequest(const Request& request)
{
    detail::WireRequest wire { request.method, request.path, request.body, request.key, request.traceParent,
        request.headers, request.repeatable, request.caller };
    return encodeMessage(wire);
}

bool decodeRequest(const std::string& bytes, Request& request)
{
    detail::WireRequest wire;
    if (!decodeMessage(bytes, wire) || wire.key.size() > maxKeyBytes)
        return false;
    request.method = std::move(wire.method);
    request.path = std::move(wire.path);
    request.body = std::move(wire.body);
    request.key = std::move(wire.key);
    request.traceParent = std::move(wire.traceParent);
    request.headers = std::move(wire.headers);
    request.repeatable = wire.repeatable;
    request.caller = wire.caller;
    return true;
}

Digest bytesDigest(const std::string& bytes)
{
    return { hashBytes(bytes.data(), bytes.size(), 0x1f83d9ab), hashBytes(bytes.data(), bytes.size(), 0x5be0cd19) };
}

// Includes the length of the path, so that moving a byte from the path to the body gives another digest.
Digest requestDigest(const Request& request)
{
    std::string text = request.method + "\n" + std::to_string(request.path.size()) + "\n" + request.path;
    return bytesDigest(text + "\n" + request.body);
}

Digest answerDigest(const Answer& answer) { return bytesDigest(encodeAnswer(answer)); }

} // namespace cicadaward::request
