// Formats HTTP/1.1 replies to callers and requests to targets, with Boost.Beast's serializer.
//
//     connection.write(formatReply(reply.reply, reply.close, reply.headOnly));
//     target.write(formatTargetRequest(*action.request, action.remaining));
//
// Every reply carries Request-Outcome (answered, not-run or unknown). Retry-After is in whole seconds, rounded up.
#pragma once

#include "request/http_reader.h"
#include "request/types.h"

#include <string>

namespace cicadaward::request {

std::string formatReply(const Reply& reply, bool close, bool headOnly);
// The reply to invalid input: nothing has run. The connection has to be closed after it.
std::string formatError(const HttpError& error);
// Adds Request-Timeout-Ms, traceparent and Content-Length. The target connection is kept alive.
std::string formatTargetRequest(const Request& request, Duration remaining);

} // namespace cicadaward::request
