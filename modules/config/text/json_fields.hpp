#ifndef BRIARDRUM_CONFIG_TEXT_JSON_FIELDS_HPP
#define BRIARDRUM_CONFIG_TEXT_JSON_FIELDS_HPP

#include "config/text/problem_list.hpp"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace briardrum
{

// Reads the fields of one JSON object and reports each problem. Call the getter
// for every known field, then finish(), which reports unknown fields. If a
// field is missing or invalid, its out parameter keeps its value; call
// require() for a field that must be present.
class json_fields
{
public:
    // path is the path of the object in reported problems, "" for the whole
    // document. object and problems must outlive this reader.
    json_fields(const nlohmann::json& object, std::string path,
                problem_list& problems);

    // Reports a problem if the field is missing.
    auto require(std::string_view name) -> void;

    // Reads an integer from min to max, both inclusive.
    template <typename Number>
    auto number(std::string_view name, std::uint64_t min, std::uint64_t max,
                Number& out) -> void
    {
        std::uint64_t value = 0;
        if (read_number(name, min, max, value))
        {
            out = static_cast<Number>(value);
        }
    }

    // Reads an integer in milliseconds from min to max, both inclusive.
    auto time(std::string_view name, millis min, millis max, millis& out)
        -> void;

    auto text(std::string_view name, std::string& out) -> void;

    auto address(std::string_view name, endpoint& out) -> void;

    // Returns the value of a field for nested readers, or nullptr if it is
    // missing or has another type; the latter is reported.
    auto object(std::string_view name) -> const nlohmann::json*;
    auto array(std::string_view name) -> const nlohmann::json*;

    // Reports every field of the object for which no getter was called.
    auto finish() -> void;

    // Returns the path of a field, such as "services.manifest.address".
    auto path_of(std::string_view name) const -> std::string;

    // Reports a problem that the caller found.
    auto add_problem(std::string_view name, std::string_view found,
                     std::string_view allowed) -> void;

private:
    auto find(std::string_view name) -> const nlohmann::json*;
    auto read_number(std::string_view name, std::uint64_t min,
                     std::uint64_t max, std::uint64_t& out) -> bool;

    const nlohmann::json& object_;
    std::string path_;
    problem_list& problems_;
    std::set<std::string, std::less<>> known_fields_;
};

// Parses JSON with // and /* */ comments. Fails with
// error_kind::invalid_argument and the line and column of the syntax error.
auto parse_json(std::string_view text) -> absl::StatusOr<nlohmann::json>;

} // namespace briardrum

#endif
