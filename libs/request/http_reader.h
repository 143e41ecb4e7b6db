// Reads the requests of one caller connection from its bytes, with Boost.Beast's parser.
//
//     HttpReader reader(clock, limits, callerAddress);
//     reader.feed(bytes);
//     auto next = reader.next();
//     if (auto* request = std::get_if<Request>(&next))
//         perform(agent.handle(RequestReceived { connection, std::move(*request) }));
//     else if (auto* error = std::get_if<HttpError>(&next))
//         write(formatError(*error)), close(); // nothing has run; the connection cannot be used further
//
// Call next() again after feed(), after the reply to the last request, and every 100 ms for the time limit. Bytes of a
// further request wait in the buffer. Fields:
//
//     Idempotency-Key      1 to 128 visible ASCII characters; required unless the request is repeatable
//     Request-Repeatable   true or false; without it, GET and HEAD are repeatable
//     Request-Timeout-Ms   1 to 300,000: remaining time; without it, `defaultTimeout`
//     traceparent          W3C Trace Context; a malformed one is ignored, as that specification asks
#pragma once

#include "core/clock.h"
#include "request/types.h"

#include <memory>
#include <string>
#include <variant>

namespace cicadaward::request {

struct HttpLimits {
    size_t headerBytes = 16 << 10;
    size_t bodyBytes = 1 << 20;
    Duration receiveTimeout = std::chrono::seconds(10); // from the first byte of a request to its last
    Duration defaultTimeout = std::chrono::seconds(10);
};

struct HttpError {
    uint16_t status = 400;
    std::string reason;
};

class HttpReader {
public:
    HttpReader(const Clock& clock, const HttpLimits& limits, uint32_t callerAddress);
    ~HttpReader();

    void feed(const std::string& bytes);
    // monostate: needs more bytes. After an error, always the same error.
    std::variant<std::monostate, Request, HttpError> next();

    // Unread bytes; the daemon stops reading from the connection while they exceed headerBytes + bodyBytes.
    size_t buffered() const { return m_buffer.size(); }

private:
    struct Parser;

    bool parse();
    bool checkHeader();
    bool fail(uint16_t status, std::string reason);
    Request takeRequest();

    const Clock& m_clock;
    HttpLimits m_limits;
    uint32_t m_caller;
    std::string m_buffer;
    std::unique_ptr<Parser> m_parser; // null between requests
    Time m_startedAt;
    HttpError m_error;
    bool m_failed = false;
};

} // namespace cicadaward::request
