// Values that the request library exchanges with the daemon and with other agents: a parsed request, the answer of a
// target, and the reply to the caller.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cicadaward::request {

// Identifies one attempt to run a request at one target. Unique among all processes and restarts (64 random bits).
using AttemptId = Id<struct AttemptTag, uint64_t>;

// 128-bit hash that detects a different request or a damaged transfer. Not cryptographic.
struct Digest {
    uint64_t high = 0;
    uint64_t low = 0;

    friend bool operator==(const Digest& a, const Digest& b) { return a.high == b.high && a.low == b.low; }
    friend bool operator!=(const Digest& a, const Digest& b) { return !(a == b); }
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// A complete request as it is sent to a target. Hop-by-hop fields have been removed from `headers`.
struct Request {
    std::string method;
    std::string path;
    HeaderList headers;
    std::string body;
    std::string key; // Idempotency-Key, the id of the request; may be empty if the request is repeatable
    bool repeatable = false;
    Duration timeout {}; // time until the deadline, from when the request was received
    uint32_t caller = 0; // IPv4 address of the caller; the retry budget and the queue are fair between callers
    std::string traceParent;
    bool keepAlive = true;
};

// A complete answer of a target.
struct Answer {
    uint16_t status = 0;
    HeaderList headers;
    std::string body;
};

enum class RequestOutcome : uint8_t {
    Answered = 0,
    NotRun = 1, // guaranteed: no target has begun the request
    Unknown = 2,
    // The deadline has passed or the caller has disconnected; `Reply::mayHaveRun` says whether it is unknown or not
    // run.
    Cancelled = 3,
};

// The reply to the caller. formatReply() in http_writer.h turns it into HTTP.
struct Reply {
    RequestOutcome outcome = RequestOutcome::NotRun;
    bool mayHaveRun = false; // for Cancelled: 504 "unknown" instead of 503 "not-run"
    uint16_t status = 503;
    Duration retryAfter {}; // 0 for none
    std::string reason; // body of a refusal, one line
    std::shared_ptr<const Answer> answer; // set for Answered
};

// Digest of the parts of a request that must be equal when an id is used again: method, path and body.
Digest requestDigest(const Request& request);
Digest answerDigest(const Answer& answer);

} // namespace cicadaward::request
