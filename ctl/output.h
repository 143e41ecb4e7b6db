// Tables for operators, columns padded to their widest cell.
#pragma once

#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cicadaward {

using TableRow = std::vector<std::string>;

// Prints no header line when `header` is empty.
void printTable(std::ostream& out, const TableRow& header, const std::vector<TableRow>& rows);

// Returns a string without its quotes, any other value as JSON.
std::string cellText(const nlohmann::json& value);

// One row for each object of `list`, one column for each key.
void printObjects(std::ostream& out, const std::vector<std::string>& keys, const nlohmann::json& list);

// Prints two columns, key and value. Fields of nested objects are printed as "outer.inner"; lists are omitted.
void printFields(std::ostream& out, const nlohmann::json& object);

} // namespace cicadaward
