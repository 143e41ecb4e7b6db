// Maps the errors that a handler may reply with to HTTP status codes and back. Internal to the library.
#pragma once

#include <absl/status/status.h>
#include <array>
#include <string>
#include <utility>

namespace cicadaward::detail {

constexpr std::array<std::pair<absl::StatusCode, int>, 10> statusCodes { {
    { absl::StatusCode::kOk, 200 },
    { absl::StatusCode::kInvalidArgument, 400 },
    { absl::StatusCode::kUnauthenticated, 401 },
    { absl::StatusCode::kPermissionDenied, 403 },
    { absl::StatusCode::kNotFound, 404 },
    { absl::StatusCode::kAborted, 409 },
    { absl::StatusCode::kFailedPrecondition, 412 },
    { absl::StatusCode::kResourceExhausted, 429 },
    { absl::StatusCode::kUnavailable, 503 },
    { absl::StatusCode::kDeadlineExceeded, 504 },
} };

// 500 for every other error.
inline int toHttpStatus(absl::StatusCode code)
{
    for (const auto& [status, http] : statusCodes) {
        if (status == code)
            return http;
    }
    return 500;
}

inline absl::Status fromHttpStatus(int http, const std::string& message)
{
    for (const auto& [status, code] : statusCodes) {
        if (code == http)
            return { status, message };
    }
    return absl::InternalError(message);
}

} // namespace cicadaward::detail
