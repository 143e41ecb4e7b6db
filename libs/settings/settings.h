// INI settings checked against a table of declared keys. Every fault is a finding with file, line and key: a syntax
// error, an unknown, duplicate or missing key, a value of the wrong type or out of range.
//
//     const SettingTable table { { { "listen.port", SettingType::Number, "", "7000", 1, 65535, "UDP port" } }, {} };
//     Findings findings;
//     const Settings settings = loadSettings("entry.ini", table, findings);
//     if (!findings.empty())
//         return fail(findings.report());
//     listen(settings.number("listen.port"));
//
// Lines are "[section]", "key = value", or a comment that starts with ';' or '#'. A value extends to the end of the
// line; lists are separated by commas. Boost.PropertyTree's INI reader is not used because it loses line numbers.
#pragma once

#include "core/findings.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cicadaward {

enum class SettingType {
    Text, // limits: length in bytes
    Name, // letters, digits, '-', '_' and '.'; limits: length in bytes
    Number, // whole number; limits: value
    Decimal, // number with an optional fraction, "1.5"; limits: value
    Milliseconds, // whole number of milliseconds; limits: value
    Flag, // "true" or "false"
    Choice, // one of the words in Setting::choices
    Endpoint, // "ip:port", IPv4
    EndpointList, // "ip:port, ip:port"; limits: number of entries
    NamedEndpointList, // "name=ip:port, name=ip:port"; limits: number of entries
    Path, // limits: length in bytes
};

struct Setting {
    const char* key; // "section.key"
    SettingType type;
    const char* unit; // "ms", "flows"; empty when there is none
    const char* defaultValue; // nullptr: the key is required; empty: optional without a default
    int64_t minimum;
    int64_t maximum;
    const char* description;
    const char* choices = ""; // Choice: words separated by ", "
};

// Two number or duration keys of which the first must be below the second.
struct SettingOrder {
    const char* smaller;
    const char* larger;
};

struct SettingTable {
    std::vector<Setting> settings;
    std::vector<SettingOrder> orders;
};

// IPv4 address and port in host byte order; `name` is empty unless the setting is a NamedEndpointList.
struct ConfiguredEndpoint {
    std::string name;
    uint32_t address = 0;
    uint16_t port = 0;
};

// Values of all declared keys. Asking for a key that the table does not declare, or as another type, is a fault of the
// program and throws std::logic_error.
class Settings {
public:
    Settings(const SettingTable& table, std::map<std::string, std::string> values);

    // False for an optional key that was left out.
    bool isSet(const std::string& key) const;

    std::string text(const std::string& key) const; // Text, Name or Choice
    int64_t number(const std::string& key) const;
    double decimal(const std::string& key) const;
    std::chrono::milliseconds duration(const std::string& key) const;
    bool flag(const std::string& key) const;
    ConfiguredEndpoint endpoint(const std::string& key) const; // all zero when not set
    std::vector<ConfiguredEndpoint> endpoints(const std::string& key) const; // of both list types
    std::string path(const std::string& key) const; // as written; relative to the working directory

private:
    const std::string& value(const std::string& key, std::initializer_list<SettingType> types) const;

    std::map<std::string, SettingType> m_types;
    std::map<std::string, std::string> m_values;
};

// `source` names the input in findings. The result holds usable values only when no finding was added.
Settings parseSettings(
    const std::string& source, const std::string& text, const SettingTable& table, Findings& findings);

// Reads at most 1 MiB; a file that is missing, unreadable or larger is a finding.
Settings loadSettings(const std::string& path, const SettingTable& table, Findings& findings);

// Markdown table with one row for each key.
std::string describeSettings(const SettingTable& table);

} // namespace cicadaward
