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

// Range of allowed values of an integer field, both bounds inclusive.
struct number_range
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

// Range of allowed values of a field that may be a fraction, both bounds
// inclusive.
struct real_range
{
    double min = 0;
    double max = 0;
};

// Reads the fields of one JSON object and reports every problem with the path
// of the field.
//
// Call the getter of the matching type once for each known field. A missing or
// invalid field yields a default value, so that reading continues and all
// problems are reported together. Then call finish(), which reports unknown
// fields. The values are valid only if no problem was reported.
class json_checker
{
public:
    // path is "" for a whole document, otherwise the path of the field that
    // holds the object. If value is not an object, a single problem is reported
    // and all fields yield default values. value and problems must outlive this
    // checker.
    json_checker(const nlohmann::json& value, std::string path,
                 json_problems& problems);

    // A string of 1 to 64 letters, digits, '-', '_' and '.'.
    auto name(std::string_view field) -> std::string;

    // A non-empty string.
    auto text(std::string_view field) -> std::string;

    // An integer within the range.
    auto number(std::string_view field, number_range range) -> std::uint64_t;
    auto optional_number(std::string_view field, number_range range,
                         std::uint64_t default_value) -> std::uint64_t;

    // A number within the range, which may be a fraction.
    auto optional_real(std::string_view field, real_range range,
                       double default_value) -> double;

    // true or false.
    auto flag(std::string_view field) -> bool;

    // An address such as "10.0.0.1:5683"; neither address nor port may be 0.
    auto address(std::string_view field) -> endpoint;

    // A list of addresses without duplicates.
    auto addresses(std::string_view field) -> std::vector<endpoint>;

    // The index of the field's value in names.
    auto choice(std::string_view field, std::span<const std::string_view> names)
        -> std::size_t;
    auto optional_choice(std::string_view field,
                         std::span<const std::string_view> names,
                         std::size_t default_value) -> std::size_t;

    // The value of a nested object, to be read with a checker of its own, or
    // nullptr if the field is missing. Only child() reports a missing field.
    auto child(std::string_view field) -> const nlohmann::json*;
    auto optional_child(std::string_view field) -> const nlohmann::json*;

    // Returns the path of a field from the root of the document.
    auto path_of(std::string_view field) const -> std::string;

    // Reports a problem that the caller found.
    auto add_problem(std::string_view field, std::string found,
                     std::string allowed) -> void;

    // Reports every field of the object for which no getter was called.
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

// Describes a value for a message: the type of an object or a list, otherwise
// the JSON text, shortened if it is long.
auto describe_json(const nlohmann::json& value) -> std::string;

// Parses JSON with comments. Reports a problem and returns nullopt if the text
// is not valid JSON or an object has a duplicate field.
auto parse_json(std::string_view text, json_problems& problems)
    -> std::optional<nlohmann::json>;

} // namespace briardrum

#endif
