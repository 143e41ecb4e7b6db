// Writes events, one line each: time (UTC), number, name, fields.
//
//     absl::StatusOr<std::unique_ptr<EventLog>> log = EventLog::open(clock, settings.path("log.file"));
//     (*log)->write(EventId::Started, { { "name", name }, { "flows", 0 } });
//     // 2026-03-01T07:30:00.125Z 100 started name=agent-1 flows=0
//
// Values with blanks, quotes, '=' or control bytes are quoted and escaped, so that each event stays on one line.
#pragma once

#include "core/clock.h"
#include "observe/events.h"

#include <absl/status/statusor.h>
#include <initializer_list>
#include <memory>
#include <string>
#include <type_traits>

namespace cicadaward {

struct EventField {
    EventField(const char* fieldKey, std::string fieldValue)
        : key(fieldKey)
        , value(std::move(fieldValue))
    {
    }
    EventField(const char* fieldKey, const char* fieldValue)
        : key(fieldKey)
        , value(fieldValue)
    {
    }
    template <typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
    EventField(const char* fieldKey, Number fieldValue)
        : key(fieldKey)
        , value(std::to_string(fieldValue))
    {
    }

    const char* key;
    std::string value;
};

// The line for an event, without a line break. `wallTime` is in milliseconds since 1970.
std::string formatEvent(std::chrono::milliseconds wallTime, EventId id, std::initializer_list<EventField> fields);

// Safe for use by several threads; each line is flushed. Do not call it for every packet: see DropLog.
class EventLog {
public:
    // An empty path selects standard output. A file is appended to; it is an error when it cannot be opened.
    static absl::StatusOr<std::unique_ptr<EventLog>> open(const Clock& clock, const std::string& path);

    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void write(EventId id, std::initializer_list<EventField> fields = {});

private:
    EventLog(const Clock& clock, std::string loggerId);

    const Clock& m_clock;
    std::string m_loggerId;
};

} // namespace cicadaward
