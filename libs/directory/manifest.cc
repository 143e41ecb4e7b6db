// Each function adds findings and continues, so that one report lists every error of the document.

#include "directory/manifest.h"

#include "core/json_nesting.h"

#include <boost/asio/ip/address_v4.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

namespace cicadaward {

namespace detail {

    using Json = nlohmann::json;

    class ManifestReader {
    public:
        ManifestReader(const std::string& source, Findings& findings)
            : m_source(source)
            , m_findings(findings)
        {
        }

        Manifest read(const Json& json)
        {
            Manifest manifest;
            checkKeys(json, "", { "version", "replaces", "dataCentres", "services" });
            manifest.version = readNumber(json, "", "version", 1, UINT64_MAX / 2);
            manifest.replaces = readNumber(json, "", "replaces", 0, UINT64_MAX / 2);
            if (manifest.version != 0 && manifest.replaces >= manifest.version)
                addFinding("replaces", "must be lower than version");
            size_t index = 0;
            for (const Json& item : readList(json, "", "dataCentres", maxDataCentres))
                manifest.dataCentres.push_back(readDataCentre(item, "dataCentres[" + std::to_string(index++) + "]"));
            index = 0;
            for (const Json& item : readList(json, "", "services", maxServices))
                manifest.services.push_back(readService(item, "services[" + std::to_string(index++) + "]"));
            checkUnique(manifest);
            return manifest;
        }

    private:
        void addFinding(const std::string& path, const std::string& message)
        {
            m_findings.add({ m_source, 0, path }, message);
        }

        static std::string joinPath(const std::string& path, const std::string& key)
        {
            return path.empty() ? key : path + "." + key;
        }

        void checkKeys(const Json& json, const std::string& path, const std::set<std::string>& knownKeys)
        {
            if (!json.is_object()) {
                addFinding(path, "must be an object");
                return;
            }
            for (const auto& item : json.items()) {
                if (knownKeys.count(item.key()) == 0)
                    addFinding(joinPath(path, item.key()), "unknown key");
            }
        }

        const Json* findValue(const Json& json, const std::string& path, const std::string& key, bool required)
        {
            if (!json.is_object())
                return nullptr;
            auto found = json.find(key);
            if (found != json.end())
                return &*found;
            if (required)
                addFinding(joinPath(path, key), "is missing");
            return nullptr;
        }

        uint64_t readNumber(
            const Json& json, const std::string& path, const std::string& key, uint64_t minimum, uint64_t maximum)
        {
            const Json* value = findValue(json, path, key, true);
            return value ? checkNumber(*value, joinPath(path, key), minimum, maximum, 0) : 0;
        }

        uint64_t readOptionalNumber(const Json& json, const std::string& path, const std::string& key, uint64_t minimum,
            uint64_t maximum, uint64_t defaultValue)
        {
            const Json* value = findValue(json, path, key, false);
            return value ? checkNumber(*value, joinPath(path, key), minimum, maximum, defaultValue) : defaultValue;
        }

        uint64_t checkNumber(
            const Json& value, const std::string& path, uint64_t minimum, uint64_t maximum, uint64_t defaultValue)
        {
            if (value.is_number_unsigned() && value.get<uint64_t>() >= minimum && value.get<uint64_t>() <= maximum)
                return value.get<uint64_t>();
            addFinding(
                path, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return defaultValue;
        }

        std::string readText(const Json& json, const std::string& path, const std::string& key)
        {
            const Json* value = findValue(json, path, key, true);
            if (!value)
                return "";
            if (!value->is_string() || value->get_ref<const std::string&>().empty()
                || value->get_ref<const std::string&>().size() > 63) {
                addFinding(joinPath(path, key), "must be a text of 1 to 63 bytes");
                return "";
            }
            return value->get<std::string>();
        }

        Json readList(const Json& json, const std::string& path, const std::string& key, size_t maxItems)
        {
            const Json* value = findValue(json, path, key, true);
            if (!value)
                return Json::array();
            if (!value->is_array() || value->size() > maxItems) {
                addFinding(joinPath(path, key), "must be a list of at most " + std::to_string(maxItems) + " items");
                return Json::array();
            }
            return *value;
        }

        DataCentreSpec readDataCentre(const Json& json, const std::string& path)
        {
            DataCentreSpec dataCentre;
            checkKeys(json, path, { "name", "out" });
            dataCentre.name = readText(json, path, "name");
            if (const Json* out = findValue(json, path, "out", false)) {
                if (out->is_boolean())
                    dataCentre.out = out->get<bool>();
                else
                    addFinding(joinPath(path, "out"), "must be true or false");
            }
            return dataCentre;
        }

        ServiceSpec readService(const Json& json, const std::string& path)
        {
            ServiceSpec service;
            checkKeys(json, path,
                { "name", "address", "ports", "buckets", "slotsPerTarget", "flowsPerTarget", "coldShare",
                    "coldSeconds" });
            service.name = readText(json, path, "name");
            if (!parseAddress(readText(json, path, "address"), service.address))
                addFinding(joinPath(path, "address"), "must be an IPv4 address");
            size_t index = 0;
            for (const Json& item : readList(json, path, "ports", maxPortsPerService))
                service.ports.push_back(readPort(item, joinPath(path, "ports[" + std::to_string(index++) + "]")));
            if (index == 0)
                addFinding(joinPath(path, "ports"), "must name at least one port");
            service.buckets
                = static_cast<uint32_t>(readOptionalNumber(json, path, "buckets", 64, 65536, service.buckets));
            if ((service.buckets & (service.buckets - 1)) != 0)
                addFinding(joinPath(path, "buckets"), "must be a power of two");
            service.slotsPerTarget = static_cast<uint32_t>(
                readOptionalNumber(json, path, "slotsPerTarget", 1, 65536, service.slotsPerTarget));
            service.flowsPerTarget = static_cast<uint32_t>(
                readOptionalNumber(json, path, "flowsPerTarget", 1, 1U << 24, service.flowsPerTarget));
            service.coldSeconds
                = static_cast<uint32_t>(readOptionalNumber(json, path, "coldSeconds", 0, 3600, service.coldSeconds));
            if (const Json* share = findValue(json, path, "coldShare", false)) {
                if (share->is_number() && share->get<double>() > 0 && share->get<double>() <= 1)
                    service.coldShare = share->get<double>();
                else
                    addFinding(joinPath(path, "coldShare"), "must be a number above 0 and at most 1");
            }
            return service;
        }

        PortSpec readPort(const Json& json, const std::string& path)
        {
            PortSpec port;
            checkKeys(json, path, { "port", "protocol", "mode" });
            port.port = static_cast<uint16_t>(readNumber(json, path, "port", 1, 65535));
            std::string protocol = readText(json, path, "protocol");
            if (protocol == "udp")
                port.protocol = Protocol::Udp;
            else if (protocol != "tcp")
                addFinding(joinPath(path, "protocol"), "must be \"tcp\" or \"udp\"");
            std::string mode = readText(json, path, "mode");
            if (mode == "request")
                port.mode = PortMode::Request;
            else if (mode != "flow")
                addFinding(joinPath(path, "mode"), "must be \"flow\" or \"request\"");
            if (port.mode == PortMode::Request && port.protocol != Protocol::Tcp)
                addFinding(joinPath(path, "mode"), "\"request\" needs protocol \"tcp\"");
            return port;
        }

        void checkUnique(const Manifest& manifest)
        {
            std::set<std::string> names;
            for (const DataCentreSpec& dataCentre : manifest.dataCentres) {
                if (!names.insert(dataCentre.name).second)
                    addFinding("dataCentres", "name \"" + dataCentre.name + "\" occurs twice");
            }
            names.clear();
            std::set<uint32_t> addresses;
            for (const ServiceSpec& service : manifest.services) {
                if (!names.insert(service.name).second)
                    addFinding("services", "name \"" + service.name + "\" occurs twice");
                if (!addresses.insert(service.address).second)
                    addFinding("services", "address " + formatAddress(service.address) + " occurs twice");
                std::set<std::pair<uint8_t, uint16_t>> ports;
                for (const PortSpec& port : service.ports) {
                    if (!ports.insert({ static_cast<uint8_t>(port.protocol), port.port }).second)
                        addFinding(
                            "services", "\"" + service.name + "\" has port " + std::to_string(port.port) + " twice");
                }
            }
        }

        const std::string& m_source;
        Findings& m_findings;
    };

} // namespace detail

std::optional<Manifest> parseManifest(const std::string& source, const std::string& text, Findings& findings)
{
    if (text.size() > maxManifestSize) {
        findings.add({ source, 0, "" }, "is larger than " + std::to_string(maxManifestSize) + " bytes");
        return std::nullopt;
    }
    if (isNestedDeeperThan(text, maxJsonNesting)) {
        findings.add({ source, 0, "" }, "is nested too deeply");
        return std::nullopt;
    }
    detail::Json json = detail::Json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        findings.add({ source, 0, "" }, "is not valid JSON");
        return std::nullopt;
    }
    Findings manifestFindings;
    Manifest manifest = detail::ManifestReader(source, manifestFindings).read(json);
    for (const Finding& finding : manifestFindings.all())
        findings.add(finding.place, finding.message);
    if (!manifestFindings.empty())
        return std::nullopt;
    return manifest;
}

std::string formatManifest(const Manifest& manifest)
{
    detail::Json json;
    json["version"] = manifest.version;
    json["replaces"] = manifest.replaces;
    json["dataCentres"] = detail::Json::array();
    for (const DataCentreSpec& dataCentre : manifest.dataCentres)
        json["dataCentres"].push_back({ { "name", dataCentre.name }, { "out", dataCentre.out } });
    json["services"] = detail::Json::array();
    for (const ServiceSpec& service : manifest.services) {
        detail::Json ports = detail::Json::array();
        for (const PortSpec& port : service.ports) {
            ports.push_back({ { "port", port.port }, { "protocol", port.protocol == Protocol::Tcp ? "tcp" : "udp" },
                { "mode", port.mode == PortMode::Flow ? "flow" : "request" } });
        }
        json["services"].push_back({ { "name", service.name }, { "address", formatAddress(service.address) },
            { "ports", ports }, { "buckets", service.buckets }, { "slotsPerTarget", service.slotsPerTarget },
            { "flowsPerTarget", service.flowsPerTarget }, { "coldShare", service.coldShare },
            { "coldSeconds", service.coldSeconds } });
    }
    return json.dump(2) + "\n";
}

bool parseAddress(const std::string& text, uint32_t& address)
{
    boost::system::error_code error;
    auto parsed = boost::asio::ip::make_address_v4(text, error);
    if (error)
        return false;
    address = parsed.to_uint();
    return true;
}

std::string formatAddress(uint32_t address) { return boost::asio::ip::address_v4(address).to_string(); }

} // namespace cicadaward
