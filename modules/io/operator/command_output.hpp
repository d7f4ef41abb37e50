#ifndef BRIARDRUM_IO_OPERATOR_COMMAND_OUTPUT_HPP
#define BRIARDRUM_IO_OPERATOR_COMMAND_OUTPUT_HPP

#include "core/core.hpp"
#include "node/store/store_layout.hpp"

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace briardrum
{

// "2026-12-04 04:30:00 UTC".
auto to_utc(millis wall) -> std::string;

auto to_json(const history_entry& entry) -> nlohmann::ordered_json;

auto print_json(const nlohmann::ordered_json& value) -> void;

auto print_line(const std::string& line) -> void;

// Lines under a heading, each indented; nothing for no lines.
auto print_lines(const std::string& heading,
                 const std::vector<std::string>& lines) -> void;

// Rows in columns as wide as their widest cell; the first row is the heads.
auto print_table(std::span<const std::vector<std::string>> rows) -> void;

} // namespace briardrum

#endif
