#include "request/http_writer.h"

#include <absl/strings/match.h>
#include <algorithm>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>

namespace cicadaward::request {

namespace http = boost::beast::http;

namespace detail {

    template <bool IsRequest> std::string serialize(http::message<IsRequest, http::string_body>& message, bool headOnly)
    {
        http::serializer<IsRequest, http::string_body> serializer(message);
        serializer.split(headOnly);
        std::string bytes;
        boost::beast::error_code error;
        while (!serializer.is_done() && !(headOnly && serializer.is_header_done())) {
            serializer.next(error, [&](boost::beast::error_code& visited, const auto& buffers) {
                visited = {};
                bytes += boost::beast::buffers_to_string(buffers);
                serializer.consume(boost::beast::buffer_bytes(buffers));
            });
            if (error)
                break;
        }
        return bytes;
    }

    // Fields of a target's answer that the reply sets itself, or that belong to the connection to the target.
    bool isManagedField(const std::string& name)
    {
        for (const char* own : { "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer",
                 "Upgrade", "Proxy-Connection", "Request-Outcome" }) {
            if (absl::EqualsIgnoreCase(name, own))
                return true;
        }
        return false;
    }

    const char* outcomeText(const Reply& reply)
    {
        if (reply.outcome == RequestOutcome::Answered)
            return "answered";
        bool notRun = reply.outcome == RequestOutcome::NotRun
            || (reply.outcome == RequestOutcome::Cancelled && !reply.mayHaveRun);
        return notRun ? "not-run" : "unknown";
    }

} // namespace detail

std::string formatReply(const Reply& reply, bool close, bool headOnly)
{
    http::response<http::string_body> message(static_cast<http::status>(reply.status), 11);
    bool hasLength = false;
    if (reply.answer) {
        for (const auto& [name, value] : reply.answer->headers) {
            // The reply to HEAD keeps the Content-Length of the target, the length of the body that GET would return.
            bool headLength = headOnly && absl::EqualsIgnoreCase(name, "Content-Length");
            hasLength = hasLength || headLength;
            if (headLength || !detail::isManagedField(name))
                message.insert(name, value);
        }
        message.body() = reply.answer->body;
    } else if (!reply.reason.empty()) {
        message.set(http::field::content_type, "text/plain");
        message.body() = reply.reason + "\n";
    }
    message.set("Request-Outcome", detail::outcomeText(reply));
    if (reply.retryAfter > Duration()) {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(reply.retryAfter);
        message.set(http::field::retry_after, std::to_string(seconds.count()));
    }
    message.keep_alive(!close);
    bool bodyless = reply.status == 204 || reply.status == 304 || reply.status < 200;
    if (bodyless)
        message.body().clear();
    else if (!hasLength)
        message.content_length(message.body().size());
    return detail::serialize(message, headOnly);
}

std::string formatError(const HttpError& error)
{
    Reply reply { RequestOutcome::NotRun, false, error.status, {}, error.reason, nullptr };
    return formatReply(reply, true, false);
}

std::string formatTargetRequest(const Request& request, Duration remaining)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    for (const auto& [name, value] : request.headers)
        message.insert(name, value);
    int64_t left = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    message.set("Request-Timeout-Ms", std::to_string(std::max<int64_t>(left, 1)));
    if (!request.traceParent.empty())
        message.set("traceparent", request.traceParent);
    message.body() = request.body;
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        message.content_length(request.body.size());
    return detail::serialize(message, false);
}

} // namespace cicadaward::request
