// Splits the text into keys and values with their line numbers, then checks each value against its declaration. Parsing
// continues after an error, so that one run reports all errors.
#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <optional>
#include <set>
#include <stdexcept>

namespace cicadaward {
namespace {

    constexpr size_t maxFileBytes = 1 << 20;

    struct LineValue {
        std::string value;
        int number = 0;
    };

    std::string trimmed(const std::string& text)
    {
        const char* whitespace = " \t\r";
        const size_t first = text.find_first_not_of(whitespace);
        if (first == std::string::npos)
            return {};
        return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
    }

    std::vector<std::string> split(const std::string& text, char separator)
    {
        std::vector<std::string> parts;
        size_t start = 0;
        for (size_t end = text.find(separator); end != std::string::npos; end = text.find(separator, start)) {
            parts.push_back(trimmed(text.substr(start, end - start)));
            start = end + 1;
        }
        parts.push_back(trimmed(text.substr(start)));
        return parts;
    }

    std::optional<int64_t> parseNumber(const std::string& text)
    {
        int64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    // Digits with at most one point. Exponents, infinities and signs other than '-' are not accepted.
    std::optional<double> parseDecimal(const std::string& text)
    {
        double number = 0;
        const auto [end, error]
            = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
        if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(number))
            return std::nullopt;
        return number;
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
                || c == '.';
        });
    }

    std::optional<ConfiguredEndpoint> parseEndpoint(const std::string& text)
    {
        const std::vector<std::string> addressAndPort = split(text, ':');
        if (addressAndPort.size() != 2)
            return std::nullopt;
        const std::vector<std::string> octets = split(addressAndPort[0], '.');
        const std::optional<int64_t> port = parseNumber(addressAndPort[1]);
        if (octets.size() != 4 || !port || *port < 1 || *port > 65535)
            return std::nullopt;
        ConfiguredEndpoint endpoint;
        for (const std::string& octet : octets) {
            const std::optional<int64_t> number = parseNumber(octet);
            if (!number || *number < 0 || *number > 255)
                return std::nullopt;
            endpoint.address = (endpoint.address << 8) | static_cast<uint32_t>(*number);
        }
        endpoint.port = static_cast<uint16_t>(*port);
        return endpoint;
    }

    std::optional<ConfiguredEndpoint> parseNamedEndpoint(const std::string& text)
    {
        const size_t equals = text.find('=');
        if (equals == std::string::npos || !isName(trimmed(text.substr(0, equals))))
            return std::nullopt;
        std::optional<ConfiguredEndpoint> endpoint = parseEndpoint(trimmed(text.substr(equals + 1)));
        if (endpoint)
            endpoint->name = trimmed(text.substr(0, equals));
        return endpoint;
    }

    std::string formatLimits(const Setting& setting)
    {
        return std::to_string(setting.minimum) + " to " + std::to_string(setting.maximum);
    }

    bool isWithinLimits(const Setting& setting, int64_t number)
    {
        return number >= setting.minimum && number <= setting.maximum;
    }

    // Returns what is wrong with the value, or an empty text.
    std::string listError(const Setting& setting, const std::string& value)
    {
        const bool named = setting.type == SettingType::NamedEndpointList;
        std::set<std::string> seen;
        std::set<std::string> names;
        const std::vector<std::string> entries = split(value, ',');
        for (const std::string& entry : entries) {
            const std::optional<ConfiguredEndpoint> endpoint = named ? parseNamedEndpoint(entry) : parseEndpoint(entry);
            if (!endpoint)
                return "\"" + entry + "\" is not " + (named ? "name=ip:port" : "ip:port");
            if (!seen.insert(std::to_string(endpoint->address) + ":" + std::to_string(endpoint->port)).second)
                return "\"" + entry + "\" repeats an address and port";
            if (named && !names.insert(endpoint->name).second)
                return "\"" + entry + "\" repeats a name";
        }
        if (!isWithinLimits(setting, static_cast<int64_t>(entries.size())))
            return "must have " + formatLimits(setting) + " entries";
        return {};
    }

    std::string valueError(const Setting& setting, const std::string& value)
    {
        switch (setting.type) {
        case SettingType::Name:
            if (!isName(value))
                return "must consist of letters, digits, '-', '_' and '.'";
            [[fallthrough]];
        case SettingType::Text:
        case SettingType::Path:
            return isWithinLimits(setting, static_cast<int64_t>(value.size()))
                ? ""
                : "must be " + formatLimits(setting) + " bytes long";
        case SettingType::Number:
        case SettingType::Milliseconds: {
            const std::optional<int64_t> number = parseNumber(value);
            if (!number)
                return "\"" + value + "\" is not a whole number";
            return isWithinLimits(setting, *number) ? "" : "must be " + formatLimits(setting);
        }
        case SettingType::Decimal: {
            const std::optional<double> number = parseDecimal(value);
            if (!number)
                return "\"" + value + "\" is not a number";
            bool within = *number >= double(setting.minimum) && *number <= double(setting.maximum);
            return within ? "" : "must be " + formatLimits(setting);
        }
        case SettingType::Flag:
            return value == "true" || value == "false" ? "" : "must be true or false";
        case SettingType::Choice: {
            const std::vector<std::string> choices = split(setting.choices, ',');
            return std::find(choices.begin(), choices.end(), value) != choices.end()
                ? ""
                : std::string("must be one of ") + setting.choices;
        }
        case SettingType::Endpoint:
            return parseEndpoint(value) ? "" : "\"" + value + "\" is not ip:port";
        case SettingType::EndpointList:
        case SettingType::NamedEndpointList:
            return listError(setting, value);
        }
        return {};
    }

    std::map<std::string, LineValue> parseLines(const std::string& source, const std::string& text, Findings& findings)
    {
        std::map<std::string, LineValue> lines;
        std::string section;
        int number = 0;
        for (size_t start = 0; start < text.size();) {
            const size_t end = std::min(text.find('\n', start), text.size());
            const std::string line = trimmed(text.substr(start, end - start));
            start = end + 1;
            ++number;
            if (line.empty() || line[0] == ';' || line[0] == '#')
                continue;
            if (line[0] == '[') {
                section = line.back() == ']' ? trimmed(line.substr(1, line.size() - 2)) : "";
                if (section.empty())
                    findings.add({ source, number, "" }, "a section must be written as [name]");
                continue;
            }
            const size_t equals = line.find('=');
            if (equals == std::string::npos || equals == 0) {
                findings.add({ source, number, "" }, "expected [section], key = value or a comment");
                continue;
            }
            const std::string key = section + "." + trimmed(line.substr(0, equals));
            const auto [place, added] = lines.emplace(key, LineValue { trimmed(line.substr(equals + 1)), number });
            if (!added)
                findings.add(
                    { source, number, key }, "is set again; first set in line " + std::to_string(place->second.number));
        }
        return lines;
    }

    void checkOrderings(const std::string& source, const SettingTable& table,
        const std::map<std::string, LineValue>& lines, const std::map<std::string, std::string>& values,
        Findings& findings)
    {
        for (const SettingOrder& order : table.orders) {
            const auto smaller = values.find(order.smaller);
            const auto larger = values.find(order.larger);
            if (smaller == values.end() || larger == values.end())
                continue;
            const std::optional<int64_t> low = parseNumber(smaller->second);
            const std::optional<int64_t> high = parseNumber(larger->second);
            if (!low || !high || *low < *high)
                continue;
            const auto line = lines.find(order.smaller);
            findings.add({ source, line == lines.end() ? 0 : line->second.number, order.smaller },
                "must be below " + std::string(order.larger) + " (" + larger->second + ")");
        }
    }

    const char* typeName(SettingType type)
    {
        switch (type) {
        case SettingType::Text:
            return "text";
        case SettingType::Name:
            return "name";
        case SettingType::Number:
            return "whole number";
        case SettingType::Decimal:
            return "number";
        case SettingType::Milliseconds:
            return "duration";
        case SettingType::Flag:
            return "true or false";
        case SettingType::Choice:
            return "word";
        case SettingType::Endpoint:
            return "ip:port";
        case SettingType::EndpointList:
            return "list of ip:port";
        case SettingType::NamedEndpointList:
            return "list of name=ip:port";
        case SettingType::Path:
            return "path";
        }
        return "";
    }

    std::string describeLimits(const Setting& setting)
    {
        switch (setting.type) {
        case SettingType::Flag:
        case SettingType::Endpoint:
            return "";
        case SettingType::Choice:
            return setting.choices;
        case SettingType::Text:
        case SettingType::Name:
        case SettingType::Path:
            return formatLimits(setting) + " bytes";
        case SettingType::EndpointList:
        case SettingType::NamedEndpointList:
            return formatLimits(setting) + " entries";
        case SettingType::Number:
        case SettingType::Decimal:
        case SettingType::Milliseconds:
            return formatLimits(setting);
        }
        return "";
    }

    std::string describeDefault(const Setting& setting)
    {
        if (!setting.defaultValue)
            return "required";
        return *setting.defaultValue ? setting.defaultValue : "none";
    }

} // namespace

Settings::Settings(const SettingTable& table, std::map<std::string, std::string> values)
    : m_values(std::move(values))
{
    for (const Setting& setting : table.settings)
        m_types.emplace(setting.key, setting.type);
}

bool Settings::isSet(const std::string& key) const
{
    if (m_types.count(key) == 0)
        throw std::logic_error("the setting " + key + " is not declared");
    return m_values.count(key) > 0;
}

const std::string& Settings::value(const std::string& key, std::initializer_list<SettingType> types) const
{
    const auto type = m_types.find(key);
    if (type == m_types.end() || std::find(types.begin(), types.end(), type->second) == types.end())
        throw std::logic_error("the setting " + key + " is not declared, or has another type");
    static const std::string none;
    const auto found = m_values.find(key);
    return found == m_values.end() ? none : found->second;
}

std::string Settings::text(const std::string& key) const
{
    return value(key, { SettingType::Text, SettingType::Name, SettingType::Choice });
}

int64_t Settings::number(const std::string& key) const
{
    return parseNumber(value(key, { SettingType::Number })).value_or(0);
}

double Settings::decimal(const std::string& key) const
{
    return parseDecimal(value(key, { SettingType::Decimal })).value_or(0);
}

std::chrono::milliseconds Settings::duration(const std::string& key) const
{
    return std::chrono::milliseconds(parseNumber(value(key, { SettingType::Milliseconds })).value_or(0));
}

bool Settings::flag(const std::string& key) const { return value(key, { SettingType::Flag }) == "true"; }

ConfiguredEndpoint Settings::endpoint(const std::string& key) const
{
    return parseEndpoint(value(key, { SettingType::Endpoint })).value_or(ConfiguredEndpoint {});
}

std::vector<ConfiguredEndpoint> Settings::endpoints(const std::string& key) const
{
    std::vector<ConfiguredEndpoint> endpoints;
    for (const std::string& entry :
        split(value(key, { SettingType::EndpointList, SettingType::NamedEndpointList }), ',')) {
        std::optional<ConfiguredEndpoint> endpoint
            = m_types.at(key) == SettingType::EndpointList ? parseEndpoint(entry) : parseNamedEndpoint(entry);
        if (endpoint)
            endpoints.push_back(*std::move(endpoint));
    }
    return endpoints;
}

std::string Settings::path(const std::string& key) const { return value(key, { SettingType::Path }); }

Settings parseSettings(
    const std::string& source, const std::string& text, const SettingTable& table, Findings& findings)
{
    const std::map<std::string, LineValue> lines = parseLines(source, text, findings);
    std::map<std::string, std::string> values;
    std::set<std::string> declared;
    for (const Setting& setting : table.settings) {
        declared.insert(setting.key);
        const auto line = lines.find(setting.key);
        if (line == lines.end()) {
            if (!setting.defaultValue)
                findings.add({ source, 0, setting.key }, std::string("is missing: ") + setting.description);
            else if (*setting.defaultValue)
                values.emplace(setting.key, setting.defaultValue);
            continue;
        }
        const std::string fault = valueError(setting, line->second.value);
        if (fault.empty())
            values.emplace(setting.key, line->second.value);
        else
            findings.add({ source, line->second.number, setting.key }, fault);
    }
    for (const auto& [key, line] : lines) {
        if (declared.count(key) == 0)
            findings.add({ source, line.number, key }, "is not a known key");
    }
    checkOrderings(source, table, lines, values, findings);
    return { table, std::move(values) };
}

Settings loadSettings(const std::string& path, const SettingTable& table, Findings& findings)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(maxFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<size_t>(file.gcount()));
    if (!file.is_open() || file.bad())
        findings.add({ path, 0, "" }, "cannot be read");
    else if (text.size() > maxFileBytes)
        findings.add({ path, 0, "" }, "is larger than 1 MiB");
    else
        return parseSettings(path, text, table, findings);
    return { table, {} };
}

std::string describeSettings(const SettingTable& table)
{
    std::string text = "| key | type | unit | default | limits | meaning |\n|---|---|---|---|---|---|\n";
    for (const Setting& setting : table.settings) {
        text += std::string("| `") + setting.key + "` | " + typeName(setting.type) + " | " + setting.unit + " | "
            + describeDefault(setting) + " | " + describeLimits(setting) + " | " + setting.description + " |\n";
    }
    for (const SettingOrder& order : table.orders)
        text += std::string("\n`") + order.smaller + "` must be below `" + order.larger + "`.\n";
    return text;
}

} // namespace cicadaward
