#include "request/http_reader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <boost/beast/http.hpp>

namespace cicadaward::request {

namespace http = boost::beast::http;

namespace detail {

    constexpr size_t maxIdempotencyKeyBytes = 128; // equals maxKeyBytes of messages.h
    constexpr uint64_t maxTimeoutMs = 300'000; // well below the record lifetime

    std::string text(boost::beast::string_view view) { return std::string(view.data(), view.size()); }

    bool isVisibleAscii(const std::string& value)
    {
        for (char c : value) {
            if (c <= 0x20 || c >= 0x7f)
                return false;
        }
        return true;
    }

    // Format: version "-" trace id "-" parent id "-" flags, lower-case hex; all-zero ids are invalid.
    bool isTraceParent(const std::string& value)
    {
        if (value.size() != 55 || value[2] != '-' || value[35] != '-' || value[52] != '-')
            return false;
        for (size_t i = 0; i < value.size(); ++i) {
            bool hex = (value[i] >= '0' && value[i] <= '9') || (value[i] >= 'a' && value[i] <= 'f');
            if (i != 2 && i != 35 && i != 52 && !hex)
                return false;
        }
        return value.compare(0, 2, "ff") != 0 && value.find_first_not_of('0', 3) < 35
            && value.find_first_not_of('0', 36) < 52;
    }

    // Hop-by-hop fields, and fields that are written anew for the target.
    bool isNotForwarded(const std::string& lowerName)
    {
        static const char* const names[] = { "connection", "keep-alive", "proxy-connection", "transfer-encoding", "te",
            "trailer", "upgrade", "content-length", "request-timeout-ms", "traceparent" };
        for (const char* name : names) {
            if (lowerName == name)
                return true;
        }
        return false;
    }

} // namespace detail

struct HttpReader::Parser {
    http::request_parser<http::string_body> parser;
    bool headerChecked = false;
};

HttpReader::HttpReader(const Clock& clock, const HttpLimits& limits, uint32_t callerAddress)
    : m_clock(clock)
    , m_limits(limits)
    , m_caller(callerAddress)
{
}

HttpReader::~HttpReader() = default;

void HttpReader::feed(const std::string& bytes)
{
    if (!m_failed)
        m_buffer += bytes;
}

std::variant<std::monostate, Request, HttpError> HttpReader::next()
{
    if (m_failed)
        return m_error;
    if (!m_parser && m_buffer.empty())
        return std::monostate();
    if (!m_parser) {
        m_parser = std::make_unique<Parser>();
        m_parser->parser.header_limit(static_cast<uint32_t>(m_limits.headerBytes));
        m_parser->parser.body_limit(m_limits.bodyBytes);
        m_parser->parser.eager(true);
        m_startedAt = m_clock.now();
    }
    if (!parse())
        return m_error;
    if (m_parser->parser.is_done()) {
        Request request = takeRequest();
        m_parser.reset();
        return request;
    }
    if (m_clock.now() - m_startedAt >= m_limits.receiveTimeout) {
        fail(408, "the request was not complete in time");
        return m_error;
    }
    return std::monostate();
}

bool HttpReader::parse()
{
    auto& parser = m_parser->parser;
    while (!m_buffer.empty() && !parser.is_done()) {
        boost::beast::error_code error;
        size_t used = parser.put(boost::asio::buffer(m_buffer), error);
        m_buffer.erase(0, used);
        if (parser.is_header_done() && !m_parser->headerChecked) {
            m_parser->headerChecked = true;
            if (!checkHeader())
                return false;
        }
        if (error == http::error::need_more || (!error && used == 0))
            break;
        if (error == http::error::header_limit)
            return fail(431, "the header is larger than " + std::to_string(m_limits.headerBytes) + " bytes");
        if (error == http::error::body_limit)
            return fail(413, "the body is larger than " + std::to_string(m_limits.bodyBytes) + " bytes");
        if (error)
            return fail(400, "not valid HTTP/1.1: " + error.message());
    }
    if (!parser.is_header_done() && m_buffer.size() > m_limits.headerBytes)
        return fail(431, "the header is larger than " + std::to_string(m_limits.headerBytes) + " bytes");
    return true;
}

// Rejects requests with an invalid header before the body is read.
bool HttpReader::checkHeader()
{
    const auto& message = m_parser->parser.get();
    if (message.version() != 11)
        return fail(400, "only HTTP/1.1 is supported");
    if (message.method() == http::verb::connect || message.method() == http::verb::trace)
        return fail(405, "this method is not supported");
    if (message.count(http::field::content_length) > 1
        || (message.count(http::field::content_length) == 1 && message.count(http::field::transfer_encoding) > 0))
        return fail(400, "conflicting body lengths");
    if (message.count(http::field::expect) > 0)
        return fail(417, "Expect is not supported");
    if (message.count(http::field::upgrade) > 0)
        return fail(400, "Upgrade is not supported");
    for (const char* name : { "Idempotency-Key", "Request-Repeatable", "Request-Timeout-Ms" }) {
        if (message.count(name) > 1)
            return fail(400, std::string(name) + " occurs more than once");
    }
    std::string repeatable = detail::text(message["Request-Repeatable"]);
    if (message.count("Request-Repeatable") > 0 && repeatable != "true" && repeatable != "false")
        return fail(400, "Request-Repeatable must be true or false");
    std::string key = detail::text(message["Idempotency-Key"]);
    bool idempotentMethod = message.method() == http::verb::get || message.method() == http::verb::head;
    bool mayRepeat = repeatable == "true" || (idempotentMethod && repeatable.empty());
    if (key.empty() && (!mayRepeat || message.count("Idempotency-Key") > 0))
        return fail(400, "Idempotency-Key is missing");
    if (key.size() > detail::maxIdempotencyKeyBytes || !detail::isVisibleAscii(key))
        return fail(400, "Idempotency-Key must be 1 to 128 visible ASCII characters");
    if (message.count("Request-Timeout-Ms") > 0) {
        std::string value = detail::text(message["Request-Timeout-Ms"]);
        uint64_t timeout = 0;
        bool digits = value.find_first_not_of("0123456789") == std::string::npos;
        if (!digits || !absl::SimpleAtoi(value, &timeout) || timeout > detail::maxTimeoutMs)
            return fail(400, "Request-Timeout-Ms must be a whole number from 1 to 300000");
        if (timeout == 0)
            return fail(400, "the deadline has passed: Request-Timeout-Ms is 0");
    }
    return true;
}

Request HttpReader::takeRequest()
{
    auto message = m_parser->parser.release();
    Request request;
    request.method = detail::text(message.method_string());
    request.path = detail::text(message.target());
    request.body = std::move(message.body());
    request.key = detail::text(message["Idempotency-Key"]);
    std::string repeatable = detail::text(message["Request-Repeatable"]);
    bool idempotentMethod = message.method() == http::verb::get || message.method() == http::verb::head;
    request.repeatable = repeatable == "true" || (idempotentMethod && repeatable.empty());
    uint64_t timeout = 0;
    request.timeout = absl::SimpleAtoi(detail::text(message["Request-Timeout-Ms"]), &timeout)
        ? Duration(std::chrono::milliseconds(timeout))
        : m_limits.defaultTimeout;
    request.caller = m_caller;
    std::string traceParent = detail::text(message["traceparent"]);
    if (message.count("traceparent") == 1 && detail::isTraceParent(traceParent))
        request.traceParent = traceParent;
    request.keepAlive = message.keep_alive();
    std::string connection = "," + absl::AsciiStrToLower(detail::text(message[http::field::connection])) + ",";
    connection.erase(std::remove(connection.begin(), connection.end(), ' '), connection.end());
    for (const auto& field : message) {
        std::string name = detail::text(field.name_string());
        std::string lower = absl::AsciiStrToLower(name);
        if (!detail::isNotForwarded(lower) && connection.find("," + lower + ",") == std::string::npos)
            request.headers.emplace_back(name, detail::text(field.value()));
    }
    return request;
}

bool HttpReader::fail(uint16_t status, std::string reason)
{
    m_failed = true;
    m_error = { status, std::move(reason) };
    m_buffer.clear();
    m_parser.reset();
    return false;
}

} // namespace cicadaward::request
