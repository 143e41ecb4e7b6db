// easylogging++ does the writing and locking; the line itself is formatted here, with the injected clock.
#include "observe/event_log.h"

#include <atomic>
#include <ctime>
#include <easylogging++.h>
#include <fstream>

INITIALIZE_EASYLOGGINGPP

namespace cicadaward {
namespace {

    std::string formatTime(std::chrono::milliseconds wallTime)
    {
        const time_t seconds = static_cast<time_t>(wallTime.count() / 1000);
        std::tm utc {};
        gmtime_r(&seconds, &utc);
        char day[32];
        const size_t size = std::strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &utc);
        const std::string milliseconds = std::to_string(1000 + wallTime.count() % 1000);
        return std::string(day, size) + "." + milliseconds.substr(1) + "Z";
    }

    bool needsQuotes(const std::string& value)
    {
        for (const char c : value) {
            if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\' || c == 127)
                return true;
        }
        return value.empty();
    }

    void appendValue(std::string& line, const std::string& value)
    {
        if (!needsQuotes(value)) {
            line += value;
            return;
        }
        constexpr char digits[] = "0123456789abcdef";
        line += '"';
        for (const char c : value) {
            const auto byte = static_cast<unsigned char>(c);
            if (c == '"' || c == '\\')
                (line += '\\') += c;
            else if (c == '\n')
                line += "\\n";
            else if (byte < ' ' || byte == 127)
                ((line += "\\x") += digits[byte >> 4]) += digits[byte & 15];
            else
                line += c;
        }
        line += '"';
    }

} // namespace

std::string formatEvent(std::chrono::milliseconds wallTime, EventId id, std::initializer_list<EventField> fields)
{
    std::string line = formatTime(wallTime) + " " + std::to_string(static_cast<int>(id)) + " " + describeEvent(id).name;
    for (const EventField& field : fields) {
        ((line += ' ') += field.key) += '=';
        appendValue(line, field.value);
    }
    return line;
}

absl::StatusOr<std::unique_ptr<EventLog>> EventLog::open(const Clock& clock, const std::string& path)
{
    // easylogging++ only prints a message when it cannot open its file, so this is tried first.
    if (!path.empty() && !std::ofstream(path, std::ios::app).is_open())
        return absl::UnavailableError("the log file " + path + " cannot be opened for writing");

    static std::atomic<int> number { 0 };
    std::string id = "cicadaward-" + std::to_string(++number);
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, path.empty() ? "true" : "false");
    configurations.setGlobally(el::ConfigurationType::ToFile, path.empty() ? "false" : "true");
    if (!path.empty())
        configurations.setGlobally(el::ConfigurationType::Filename, path);
    configurations.setGlobally(el::ConfigurationType::LogFlushThreshold, "1");
    el::Loggers::getLogger(id);
    el::Loggers::reconfigureLogger(id, configurations);
    return std::unique_ptr<EventLog>(new EventLog(clock, std::move(id)));
}

EventLog::EventLog(const Clock& clock, std::string loggerId)
    : m_clock(clock)
    , m_loggerId(std::move(loggerId))
{
}

void EventLog::write(EventId id, std::initializer_list<EventField> fields)
{
    const std::string line = formatEvent(m_clock.wallTime(), id, fields);
    el::Logger* logger = el::Loggers::getLogger(m_loggerId);
    switch (describeEvent(id).level) {
    case EventLevel::Info:
        logger->info(line);
        break;
    case EventLevel::Warning:
        logger->warn(line);
        break;
    case EventLevel::Error:
        logger->error(line);
        break;
    }
}

} // namespace cicadaward
