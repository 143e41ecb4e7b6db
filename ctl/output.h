// Tables for operators, columns padded to their widest cell.
#pragma once

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cicadaward {

using TableRow = std::vector<std::string>;

// The header is left out when it is empty.
void printTable(std::ostream& out, const TableRow& header, const std::vector<TableRow>& rows);

// A text without its quotes, anything else as JSON.
std::string cellText(const nlohmann::json& value);

// One row for each object of `list`, one column for each key.
void printObjects(std::ostream& out, const std::vector<std::string>& keys, const nlohmann::json& list);

// Two columns, key and value, nested objects as "outer.inner"; lists are left out.
void printFields(std::ostream& out, const nlohmann::json& object);

} // namespace cicadaward
