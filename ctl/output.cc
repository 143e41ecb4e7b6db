#include "output.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace cicadaward {

namespace detail {

    void collectFields(const std::string& prefix, const nlohmann::json& object, std::vector<TableRow>& rows)
    {
        for (const auto& [key, value] : object.items()) {
            if (value.is_object())
                collectFields(prefix + key + ".", value, rows);
            else if (!value.is_array())
                rows.push_back({ prefix + key, cellText(value) });
        }
    }

} // namespace detail

void printTable(std::ostream& out, const TableRow& header, const std::vector<TableRow>& rows)
{
    std::vector<size_t> widths;
    auto measure = [&](const TableRow& row) {
        widths.resize(std::max(widths.size(), row.size()));
        for (size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    };
    auto print = [&](const TableRow& row) {
        for (size_t i = 0; i < row.size(); ++i) {
            if (i + 1 < row.size())
                out << std::left << std::setw(static_cast<int>(widths[i]) + 2) << row[i];
            else
                out << row[i];
        }
        out << "\n";
    };
    measure(header);
    for (const TableRow& row : rows)
        measure(row);
    if (!header.empty())
        print(header);
    for (const TableRow& row : rows)
        print(row);
}

std::string cellText(const nlohmann::json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void printObjects(std::ostream& out, const std::vector<std::string>& keys, const nlohmann::json& list)
{
    std::vector<TableRow> rows;
    for (const nlohmann::json& item : list) {
        TableRow row;
        for (const std::string& key : keys)
            row.push_back(item.is_object() && item.contains(key) ? cellText(item[key]) : "");
        rows.push_back(std::move(row));
    }
    printTable(out, keys, rows);
}

void printFields(std::ostream& out, const nlohmann::json& object)
{
    std::vector<TableRow> rows;
    detail::collectFields("", object, rows);
    printTable(out, {}, rows);
}

} // namespace cicadaward
