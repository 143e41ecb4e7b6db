// Holds docs/MANIFEST.md against the reader of manifests.

#include "directory/manifest.h"

#include <boost/algorithm/string.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>

using namespace cicadaward;
using Json = nlohmann::json;

namespace {

struct Row {
    std::string key;
    std::string defaultValue;
    std::string limits;
};

std::vector<Row> readRows()
{
    std::ifstream file(CICADAWARD_SOURCE_DIR "/docs/MANIFEST.md");
    std::vector<Row> rows;
    for (std::string line; std::getline(file, line);) {
        std::vector<std::string> cells;
        boost::split(cells, line, boost::is_any_of("|"));
        if (cells.size() != 7 || !boost::starts_with(cells[1], " `"))
            continue;
        for (std::string& cell : cells)
            boost::trim_if(cell, boost::is_any_of(" `"));
        rows.push_back({ cells[1], cells[3], cells[4] });
    }
    return rows;
}

Json::json_pointer pointerOf(const std::string& key)
{
    std::string path = "/" + key;
    boost::replace_all(path, "[]", "/0");
    boost::replace_all(path, ".", "/");
    return Json::json_pointer(path);
}

// With every required key and no other.
Json example()
{
    return Json::parse(R"({ "version": 2, "replaces": 0, "dataCentres": [ { "name": "dc-1" } ],
        "services": [ { "name": "catalogue", "address": "10.100.0.2",
                        "ports": [ { "port": 8080, "protocol": "tcp", "mode": "request" } ] } ] })");
}

bool isAccepted(const Json& json)
{
    Findings findings;
    return parseManifest("m", json.dump(), findings).has_value();
}

void collectKeys(const std::string& path, const Json& json, std::vector<std::string>& keys)
{
    for (const auto& [key, value] : json.items()) {
        keys.push_back(path + key);
        if (value.is_array())
            collectKeys(path + key + "[].", value.front(), keys);
    }
}

} // namespace

// Guards against a page that leaves out a key or names one that does not exist.
TEST_CASE("the manifest page names every key", "[manifest]")
{
    Findings findings;
    std::vector<std::string> expected;
    collectKeys("", Json::parse(formatManifest(parseManifest("m", example().dump(), findings).value())), expected);
    std::vector<std::string> named;
    for (const Row& row : readRows())
        named.push_back(row.key);
    std::sort(expected.begin(), expected.end());
    std::sort(named.begin(), named.end());
    CHECK(named == expected);
}

// Guards against defaults and limits on the page that the reader does not apply.
TEST_CASE("the manifest page gives the defaults and limits of the reader", "[manifest]")
{
    Findings findings;
    Json written = Json::parse(formatManifest(parseManifest("m", example().dump(), findings).value()));
    for (const Row& row : readRows()) {
        CAPTURE(row.key);
        Json::json_pointer pointer = pointerOf(row.key);
        if (row.defaultValue == "required") {
            Json json = example();
            json[pointer.parent_pointer()].erase(pointer.back());
            CHECK_FALSE(isAccepted(json));
        } else
            CHECK(written[pointer].dump() == row.defaultValue);
        std::smatch match;
        if (!std::regex_match(row.limits, match, std::regex("([0-9]+) to ([0-9]+)")))
            continue;
        uint64_t low = std::stoull(match[1]);
        uint64_t high = std::stoull(match[2]);
        auto accepts = [&](const Json& value) {
            Json json = example();
            // The other of the two versions must not be what refuses the value.
            json["version"] = row.key == "replaces" ? high : json["version"].get<uint64_t>();
            json[pointer] = value;
            return isAccepted(json);
        };
        CHECK(accepts(low));
        CHECK(accepts(row.key == "replaces" ? high - 1 : high));
        CHECK_FALSE(accepts(low == 0 ? Json(-1) : Json(low - 1)));
        CHECK_FALSE(accepts(high + 1));
    }
}
