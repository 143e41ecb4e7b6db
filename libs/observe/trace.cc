// A span collects its tags as JSON and hands one line to the tracer when it finishes. Spans that are not sampled keep
// their context, which must still be passed on, and collect nothing.
#include "observe/trace.h"

#include <nlohmann/json.hpp>

namespace cicadaward {
namespace {

    constexpr const char* traceparentHeader = "traceparent";

    std::string hex(uint64_t value, int digits)
    {
        constexpr char alphabet[] = "0123456789abcdef";
        std::string text(static_cast<size_t>(digits), '0');
        for (auto digit = text.rbegin(); digit != text.rend(); ++digit, value >>= 4)
            *digit = alphabet[value & 15];
        return text;
    }

    // W3C allows lower-case digits only.
    std::optional<uint64_t> parseHex(const std::string& text, size_t start, size_t digits)
    {
        uint64_t value = 0;
        for (size_t i = start; i < start + digits; ++i) {
            const char c = text[i];
            if (c >= '0' && c <= '9')
                value = (value << 4) | static_cast<uint64_t>(c - '0');
            else if (c >= 'a' && c <= 'f')
                value = (value << 4) | static_cast<uint64_t>(c - 'a' + 10);
            else
                return std::nullopt;
        }
        return value;
    }

    struct ToJson {
        nlohmann::json operator()(std::nullptr_t) const { return nullptr; }
        nlohmann::json operator()(opentracing::string_view text) const { return std::string(text.data(), text.size()); }
        nlohmann::json operator()(const char* text) const { return text; }
        template <typename T> nlohmann::json operator()(const T& value) const
        {
            if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>)
                return value;
            else
                return "(structured value)";
        }
    };

    nlohmann::json toJson(const opentracing::Value& value) { return opentracing::Value::visit(value, ToJson {}); }

    std::string toString(opentracing::string_view text) { return { text.data(), text.size() }; }

} // namespace

std::string TraceContext::ToTraceID() const noexcept { return hex(traceHigh, 16) + hex(traceLow, 16); }

std::string TraceContext::ToSpanID() const noexcept { return hex(span, 16); }

std::optional<TraceContext> parseTraceparent(const std::string& text)
{
    constexpr size_t size = 55;
    if (text.size() < size || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const std::optional<uint64_t> version = parseHex(text, 0, 2);
    const std::optional<uint64_t> high = parseHex(text, 3, 16);
    const std::optional<uint64_t> low = parseHex(text, 19, 16);
    const std::optional<uint64_t> parent = parseHex(text, 36, 16);
    const std::optional<uint64_t> flags = parseHex(text, 53, 2);
    if (!version || !high || !low || !parent || !flags || *version == 0xff)
        return std::nullopt;
    // Later versions may add fields after another dash.
    if (text.size() > size && (*version == 0 || text[size] != '-'))
        return std::nullopt;
    if ((*high == 0 && *low == 0) || *parent == 0)
        return std::nullopt;
    TraceContext context;
    context.traceHigh = *high;
    context.traceLow = *low;
    context.span = *parent;
    context.sampled = (*flags & 1) != 0;
    return context;
}

std::string formatTraceparent(const opentracing::SpanContext& context)
{
    const auto* traceContext = dynamic_cast<const TraceContext*>(&context);
    if (!traceContext)
        return {};
    return "00-" + traceContext->ToTraceID() + "-" + traceContext->ToSpanID() + (traceContext->sampled ? "-01" : "-00");
}

class JsonSpan final : public opentracing::Span {
public:
    JsonSpan(const JsonTracer& tracer, TraceContext context, uint64_t parent, std::string name,
        std::chrono::milliseconds wallStart, Time start)
        : m_tracer(tracer)
        , m_context(std::move(context))
        , m_parent(parent)
        , m_name(std::move(name))
        , m_wallStart(wallStart)
        , m_start(start)
    {
    }

    ~JsonSpan() override { finish(); }

    // The injected clock gives the time, not the options, so that spans agree with the rest of the process.
    void FinishWithOptions(const opentracing::FinishSpanOptions&) noexcept override { finish(); }

    void SetOperationName(opentracing::string_view name) noexcept override { m_name = toString(name); }

    void SetTag(opentracing::string_view key, const opentracing::Value& value) noexcept override
    {
        if (m_context.sampled)
            m_tags[toString(key)] = toJson(value);
    }

    void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override { }
    std::string BaggageItem(opentracing::string_view) const noexcept override { return {}; }

    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept override
    {
        addLog(fields);
    }
    void Log(opentracing::SystemTime,
        std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept override
    {
        addLog(fields);
    }
    void Log(opentracing::SystemTime,
        const std::vector<std::pair<opentracing::string_view, opentracing::Value>>& fields) noexcept override
    {
        addLog(fields);
    }

    const opentracing::SpanContext& context() const noexcept override { return m_context; }
    const opentracing::Tracer& tracer() const noexcept override { return m_tracer; }

private:
    // More entries than this are dropped: the memory of a span that never ends stays bounded.
    static constexpr size_t maxLogs = 64;

    int64_t microsecondsSinceStart() const
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(m_tracer.m_clock.now() - m_start).count();
    }

    template <typename Fields> void addLog(const Fields& fields)
    {
        if (!m_context.sampled || m_logs.size() >= maxLogs)
            return;
        nlohmann::json entry { { "us", microsecondsSinceStart() } };
        for (const auto& [key, value] : fields)
            entry[toString(key)] = toJson(value);
        m_logs.push_back(std::move(entry));
    }

    void finish() noexcept
    {
        if (m_finished)
            return;
        m_finished = true;
        if (!m_context.sampled)
            return;
        nlohmann::json line { { "trace", m_context.ToTraceID() }, { "span", m_context.ToSpanID() }, { "name", m_name },
            { "startMs", m_wallStart.count() }, { "us", microsecondsSinceStart() } };
        if (m_parent != 0)
            line["parent"] = hex(m_parent, 16);
        if (!m_tags.empty())
            line["tags"] = m_tags;
        if (!m_logs.empty())
            line["logs"] = m_logs;
        m_tracer.record(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

    const JsonTracer& m_tracer;
    const TraceContext m_context;
    const uint64_t m_parent;
    std::string m_name;
    const std::chrono::milliseconds m_wallStart;
    const Time m_start;
    nlohmann::json m_tags = nlohmann::json::object();
    nlohmann::json m_logs = nlohmann::json::array();
    bool m_finished = false;
};

JsonTracer::JsonTracer(const Clock& clock, uint64_t seed, std::unique_ptr<std::ostream> out, TraceLimits limits)
    : m_clock(clock)
    , m_limits(limits)
    , m_random(seed)
    , m_out(std::move(out))
{
}

uint64_t JsonTracer::droppedSpans() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_dropped;
}

std::unique_ptr<opentracing::Span> JsonTracer::StartSpanWithOptions(
    opentracing::string_view name, const opentracing::StartSpanOptions& options) const noexcept
{
    TraceContext context;
    const TraceContext* parent = nullptr;
    for (const auto& [type, reference] : options.references) {
        if (!parent)
            parent = dynamic_cast<const TraceContext*>(reference);
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (parent) {
            context = *parent;
        } else {
            context.traceHigh = m_random.next();
            context.traceLow = m_random.next() | 1; // never zero
            context.sampled = m_random.unit() < m_limits.sampledShare;
        }
        context.span = m_random.next() | 1;
    }
    auto span = std::make_unique<JsonSpan>(
        *this, context, parent ? parent->span : 0, toString(name), m_clock.wallTime(), m_clock.now());
    for (const auto& [key, value] : options.tags)
        span->SetTag(key, value);
    return span;
}

opentracing::expected<void> JsonTracer::Inject(const opentracing::SpanContext&, std::ostream&) const
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<void> JsonTracer::Inject(
    const opentracing::SpanContext& context, const opentracing::TextMapWriter& writer) const
{
    const std::string text = formatTraceparent(context);
    if (text.empty())
        return opentracing::make_unexpected(opentracing::invalid_span_context_error);
    return writer.Set(traceparentHeader, text);
}

opentracing::expected<void> JsonTracer::Inject(
    const opentracing::SpanContext& context, const opentracing::HTTPHeadersWriter& writer) const
{
    return Inject(context, static_cast<const opentracing::TextMapWriter&>(writer));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonTracer::Extract(std::istream&) const
{
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonTracer::Extract(
    const opentracing::TextMapReader& reader) const
{
    std::optional<TraceContext> context;
    bool corrupted = false;
    const auto result = reader.ForeachKey(
        [&](opentracing::string_view key, opentracing::string_view value) -> opentracing::expected<void> {
            if (toString(key) == traceparentHeader) {
                context = parseTraceparent(toString(value));
                corrupted = !context;
            }
            return {};
        });
    if (!result)
        return opentracing::make_unexpected(result.error());
    if (corrupted)
        return opentracing::make_unexpected(opentracing::span_context_corrupted_error);
    if (!context)
        return std::unique_ptr<opentracing::SpanContext>();
    return std::unique_ptr<opentracing::SpanContext>(std::make_unique<TraceContext>(*context));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> JsonTracer::Extract(
    const opentracing::HTTPHeadersReader& reader) const
{
    return Extract(static_cast<const opentracing::TextMapReader&>(reader));
}

void JsonTracer::record(const std::string& line) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_written + line.size() + 1 > m_limits.maxBytes) {
        ++m_dropped;
        return;
    }
    m_written += line.size() + 1;
    *m_out << line << '\n';
}

} // namespace cicadaward
