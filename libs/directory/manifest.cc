// Each reader adds findings and goes on, so that one report names every fault of the document.

#include "directory/manifest.h"

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
            manifest.version = number(json, "", "version", 1, UINT64_MAX / 2);
            manifest.replaces = number(json, "", "replaces", 0, UINT64_MAX / 2);
            if (manifest.version != 0 && manifest.replaces >= manifest.version)
                add("replaces", "must be lower than version");
            size_t index = 0;
            for (const Json& item : list(json, "", "dataCentres", maxDataCentres))
                manifest.dataCentres.push_back(readDataCentre(item, "dataCentres[" + std::to_string(index++) + "]"));
            index = 0;
            for (const Json& item : list(json, "", "services", maxServices))
                manifest.services.push_back(readService(item, "services[" + std::to_string(index++) + "]"));
            checkUnique(manifest);
            return manifest;
        }

    private:
        void add(const std::string& path, const std::string& message)
        {
            m_findings.add({ m_source, 0, path }, message);
        }

        static std::string join(const std::string& path, const std::string& key)
        {
            return path.empty() ? key : path + "." + key;
        }

        void checkKeys(const Json& json, const std::string& path, const std::set<std::string>& known)
        {
            if (!json.is_object()) {
                add(path, "must be an object");
                return;
            }
            for (const auto& item : json.items()) {
                if (known.count(item.key()) == 0)
                    add(join(path, item.key()), "unknown key");
            }
        }

        const Json* find(const Json& json, const std::string& path, const std::string& key, bool required)
        {
            if (!json.is_object())
                return nullptr;
            auto found = json.find(key);
            if (found != json.end())
                return &*found;
            if (required)
                add(join(path, key), "is missing");
            return nullptr;
        }

        uint64_t number(const Json& json, const std::string& path, const std::string& key, uint64_t low, uint64_t high)
        {
            const Json* value = find(json, path, key, true);
            return value ? checkedNumber(*value, join(path, key), low, high, 0) : 0;
        }

        uint64_t numberOr(const Json& json, const std::string& path, const std::string& key, uint64_t low,
            uint64_t high, uint64_t fallback)
        {
            const Json* value = find(json, path, key, false);
            return value ? checkedNumber(*value, join(path, key), low, high, fallback) : fallback;
        }

        uint64_t checkedNumber(
            const Json& value, const std::string& path, uint64_t low, uint64_t high, uint64_t fallback)
        {
            if (value.is_number_unsigned() && value.get<uint64_t>() >= low && value.get<uint64_t>() <= high)
                return value.get<uint64_t>();
            add(path, "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
            return fallback;
        }

        std::string text(const Json& json, const std::string& path, const std::string& key)
        {
            const Json* value = find(json, path, key, true);
            if (!value)
                return "";
            if (!value->is_string() || value->get_ref<const std::string&>().empty()
                || value->get_ref<const std::string&>().size() > 63) {
                add(join(path, key), "must be a text of 1 to 63 bytes");
                return "";
            }
            return value->get<std::string>();
        }

        Json list(const Json& json, const std::string& path, const std::string& key, size_t most)
        {
            const Json* value = find(json, path, key, true);
            if (!value)
                return Json::array();
            if (!value->is_array() || value->size() > most) {
                add(join(path, key), "must be a list of at most " + std::to_string(most) + " items");
                return Json::array();
            }
            return *value;
        }

        DataCentreSpec readDataCentre(const Json& json, const std::string& path)
        {
            DataCentreSpec dataCentre;
            checkKeys(json, path, { "name", "out" });
            dataCentre.name = text(json, path, "name");
            if (const Json* out = find(json, path, "out", false)) {
                if (out->is_boolean())
                    dataCentre.out = out->get<bool>();
                else
                    add(join(path, "out"), "must be true or false");
            }
            return dataCentre;
        }

        ServiceSpec readService(const Json& json, const std::string& path)
        {
            ServiceSpec service;
            checkKeys(json, path,
                { "name", "address", "ports", "buckets", "slotsPerTarget", "flowsPerTarget", "coldShare",
                    "coldSeconds" });
            service.name = text(json, path, "name");
            if (!parseAddress(text(json, path, "address"), service.address))
                add(join(path, "address"), "must be an IPv4 address");
            size_t index = 0;
            for (const Json& item : list(json, path, "ports", maxPortsPerService))
                service.ports.push_back(readPort(item, join(path, "ports[" + std::to_string(index++) + "]")));
            if (index == 0)
                add(join(path, "ports"), "must name at least one port");
            service.buckets = static_cast<uint32_t>(numberOr(json, path, "buckets", 64, 65536, service.buckets));
            if ((service.buckets & (service.buckets - 1)) != 0)
                add(join(path, "buckets"), "must be a power of two");
            service.slotsPerTarget
                = static_cast<uint32_t>(numberOr(json, path, "slotsPerTarget", 1, 65536, service.slotsPerTarget));
            service.flowsPerTarget
                = static_cast<uint32_t>(numberOr(json, path, "flowsPerTarget", 1, 1U << 24, service.flowsPerTarget));
            service.coldSeconds
                = static_cast<uint32_t>(numberOr(json, path, "coldSeconds", 0, 3600, service.coldSeconds));
            if (const Json* share = find(json, path, "coldShare", false)) {
                if (share->is_number() && share->get<double>() > 0 && share->get<double>() <= 1)
                    service.coldShare = share->get<double>();
                else
                    add(join(path, "coldShare"), "must be a number above 0 and at most 1");
            }
            return service;
        }

        PortSpec readPort(const Json& json, const std::string& path)
        {
            PortSpec port;
            checkKeys(json, path, { "port", "protocol", "mode" });
            port.port = static_cast<uint16_t>(number(json, path, "port", 1, 65535));
            std::string protocol = text(json, path, "protocol");
            if (protocol == "udp")
                port.protocol = Protocol::Udp;
            else if (protocol != "tcp")
                add(join(path, "protocol"), "must be \"tcp\" or \"udp\"");
            std::string mode = text(json, path, "mode");
            if (mode == "request")
                port.mode = PortMode::Request;
            else if (mode != "flow")
                add(join(path, "mode"), "must be \"flow\" or \"request\"");
            if (port.mode == PortMode::Request && port.protocol != Protocol::Tcp)
                add(join(path, "mode"), "\"request\" needs protocol \"tcp\"");
            return port;
        }

        void checkUnique(const Manifest& manifest)
        {
            std::set<std::string> names;
            for (const DataCentreSpec& dataCentre : manifest.dataCentres) {
                if (!names.insert(dataCentre.name).second)
                    add("dataCentres", "name \"" + dataCentre.name + "\" occurs twice");
            }
            names.clear();
            std::set<uint32_t> addresses;
            for (const ServiceSpec& service : manifest.services) {
                if (!names.insert(service.name).second)
                    add("services", "name \"" + service.name + "\" occurs twice");
                if (!addresses.insert(service.address).second)
                    add("services", "address " + formatAddress(service.address) + " occurs twice");
                std::set<std::pair<uint8_t, uint16_t>> ports;
                for (const PortSpec& port : service.ports) {
                    if (!ports.insert({ static_cast<uint8_t>(port.protocol), port.port }).second)
                        add("services", "\"" + service.name + "\" has port " + std::to_string(port.port) + " twice");
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
    detail::Json json = detail::Json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        findings.add({ source, 0, "" }, "is not valid JSON");
        return std::nullopt;
    }
    Findings own;
    Manifest manifest = detail::ManifestReader(source, own).read(json);
    for (const Finding& finding : own.all())
        findings.add(finding.place, finding.message);
    if (!own.empty())
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
