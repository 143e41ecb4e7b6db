// Trace spans through OpenTracing's interface, with W3C traceparent between processes. Each finished and sampled span
// becomes one JSON line.
//
//     auto tracer = std::make_shared<JsonTracer>(clock, seed, std::make_unique<std::ofstream>(path), limits);
//     auto parent = parseTraceparent(request["traceparent"]);
//     auto span = tracer->StartSpan("dispatch", { opentracing::ChildOf(parent ? &*parent : nullptr) });
//     span->SetTag("member", 17);
//     forwarded.set("traceparent", formatTraceparent(span->context()));
//     span->Finish();
#pragma once

#include "core/clock.h"
#include "core/random.h"

#include <memory>
#include <mutex>
#include <opentracing/tracer.h>
#include <optional>
#include <ostream>
#include <string>

namespace cicadaward {

// Ids are never all zero. Baggage is not carried.
class TraceContext final : public opentracing::SpanContext {
public:
    void ForeachBaggageItem(std::function<bool(const std::string&, const std::string&)>) const override { }
    std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override
    {
        return std::make_unique<TraceContext>(*this);
    }
    std::string ToTraceID() const noexcept override; // 32 hexadecimal digits
    std::string ToSpanID() const noexcept override; // 16 hexadecimal digits

    uint64_t traceHigh = 0;
    uint64_t traceLow = 0;
    uint64_t span = 0;
    bool sampled = false;
};

// Reads "version-trace-parent-flags". Returns nothing when it is malformed; the caller then starts a new trace.
std::optional<TraceContext> parseTraceparent(const std::string& text);

// Empty when the context does not come from this library.
std::string formatTraceparent(const opentracing::SpanContext& context);

struct TraceLimits {
    double sampledShare = 0.01; // of the traces that start here; a trace from outside keeps its own flag
    uint64_t maxBytes = 256ULL << 20; // written in all; later spans are dropped and counted
};

// Safe for use by several threads. The tracer must outlive its spans.
class JsonTracer final : public opentracing::Tracer {
public:
    JsonTracer(const Clock& clock, uint64_t seed, std::unique_ptr<std::ostream> out, TraceLimits limits);

    uint64_t droppedSpans() const;

    std::unique_ptr<opentracing::Span> StartSpanWithOptions(
        opentracing::string_view name, const opentracing::StartSpanOptions& options) const noexcept override;

    // Text maps and HTTP headers carry "traceparent". Binary carriers are not supported.
    opentracing::expected<void> Inject(const opentracing::SpanContext& context, std::ostream& writer) const override;
    opentracing::expected<void> Inject(
        const opentracing::SpanContext& context, const opentracing::TextMapWriter& writer) const override;
    opentracing::expected<void> Inject(
        const opentracing::SpanContext& context, const opentracing::HTTPHeadersWriter& writer) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(std::istream& reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        const opentracing::TextMapReader& reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        const opentracing::HTTPHeadersReader& reader) const override;

private:
    friend class JsonSpan;

    void record(const std::string& line) const;

    const Clock& m_clock;
    const TraceLimits m_limits;
    mutable std::mutex m_mutex;
    mutable Random m_random;
    mutable uint64_t m_written = 0;
    mutable uint64_t m_dropped = 0;
    std::unique_ptr<std::ostream> m_out;
};

} // namespace cicadaward
