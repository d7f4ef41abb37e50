#ifndef BRIARDRUM_CONFIG_SETTINGS_JSON_CHECKER_HPP
#define BRIARDRUM_CONFIG_SETTINGS_JSON_CHECKER_HPP

#include "config/settings/json_problems.hpp"
#include "core/core.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace briardrum
{

// Whole numbers that a field may have, both ends included.
struct number_range
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

// Reads the fields of one JSON object and notes every fault with its path.
//
// Ask for each field once, by its type; a field that is missing or wrong
// gives a harmless default, so that reading goes on to the next fault. Then
// call finish(), which reports the fields that nobody asked for. The values
// may be used only when the problems are empty at the end.
class json_checker
{
public:
    // path is "" for a whole document, else the field that holds the object.
    // A value that is no object is a problem; all its fields then read as
    // defaults without further problems.
    json_checker(const nlohmann::json& value, std::string path,
                 json_problems& problems);

    // A string of 1 to 64 letters, digits, '-', '_' and '.'.
    auto name(std::string_view field) -> std::string;

    // A string that is not empty.
    auto text(std::string_view field) -> std::string;

    auto number(std::string_view field, number_range range) -> std::uint64_t;
    auto optional_number(std::string_view field, number_range range,
                         std::uint64_t default_value) -> std::uint64_t;

    // An address like "10.0.0.1:5683" with a port.
    auto address(std::string_view field) -> endpoint;

    // A list of addresses, none twice.
    auto addresses(std::string_view field) -> std::vector<endpoint>;

    // One of some names, as their index.
    auto choice(std::string_view field, std::span<const std::string_view> names)
        -> std::size_t;
    auto optional_choice(std::string_view field,
                         std::span<const std::string_view> names,
                         std::size_t default_value) -> std::size_t;

    // The value of a field to be read by another checker, or nullptr when it
    // is missing, which is a problem only in child().
    auto child(std::string_view field) -> const nlohmann::json*;
    auto optional_child(std::string_view field) -> const nlohmann::json*;

    // The full path of a field.
    auto path_of(std::string_view field) const -> std::string;

    // Notes a fault that the caller found itself.
    auto add_problem(std::string_view field, std::string found,
                     std::string allowed) -> void;

    auto finish() -> void;

private:
    auto find_field(std::string_view field) -> const nlohmann::json*;
    auto find_required_field(std::string_view field, std::string_view allowed)
        -> const nlohmann::json*;
    auto read_number(std::string_view field, const nlohmann::json& value,
                     number_range range) -> std::uint64_t;
    auto read_choice(std::string_view field, const nlohmann::json& value,
                     std::span<const std::string_view> names) -> std::size_t;
    auto read_address(std::string_view field, const nlohmann::json& value)
        -> endpoint;

    const nlohmann::json* value_;
    std::string path_;
    json_problems* problems_;
    std::set<std::string, std::less<>> known_fields_;
};

// What stands in a document, shortened for a message: its text or its kind.
auto describe_json(const nlohmann::json& value) -> std::string;

// Parses JSON with comments. Notes a problem and gives nothing when the text
// is no JSON or an object has a field twice.
auto parse_json(std::string_view text, json_problems& problems)
    -> std::optional<nlohmann::json>;

} // namespace briardrum

#endif
