// Parses the requests of one caller connection, with Boost.Beast.
//
//     HttpReader reader(clock, limits, callerAddress);
//     reader.feed(bytes);
//     auto next = reader.next();
//     if (auto* request = std::get_if<Request>(&next))
//         perform(agent.handle(RequestReceived { connection, std::move(*request) }));
//     else if (auto* error = std::get_if<HttpError>(&next))
//         write(formatError(*error)), close(); // nothing has run; the connection has to be closed
//
// Call next() after each feed(), after the reply to the last request, and every 100 ms to enforce the receive timeout.
// Bytes of a pipelined request stay in the buffer. Header fields:
//
//     Idempotency-Key      1 to 128 visible ASCII characters; required unless the request is repeatable
//     Request-Repeatable   true or false; without it, GET and HEAD are repeatable
//     Request-Timeout-Ms   1 to 300,000: time until the deadline; without it, `defaultTimeout`
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
    Duration receiveTimeout = std::chrono::seconds(10); // from the first to the last byte of a request
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
    // Returns monostate if more bytes are needed. After an error, returns the same error on every call.
    std::variant<std::monostate, Request, HttpError> next();

    // Bytes that are not yet parsed. The daemon stops reading from the connection while they exceed headerBytes +
    // bodyBytes.
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
