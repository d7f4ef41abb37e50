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

// Reads the fields of one JSON object and notes each problem. Call the
// getters for all fields that are allowed, then finish(), which notes the
// fields that nobody asked for. A field that is missing leaves its target as
// it is; require() first where it must be there.
class json_fields
{
public:
    // path names the object in problems, "" for the whole document. Both the
    // object and the list must outlive this reader.
    json_fields(const nlohmann::json& object, std::string path,
                problem_list& problems);

    auto require(std::string_view name) -> void;

    // Whole numbers within [least, most].
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

    // Whole milliseconds within [least, most].
    auto time(std::string_view name, millis min, millis max, millis& out)
        -> void;

    auto text(std::string_view name, std::string& out) -> void;

    auto address(std::string_view name, endpoint& out) -> void;

    // The field's value for readers of inner objects, or nullptr when it is
    // missing or is not of this type.
    auto object(std::string_view name) -> const nlohmann::json*;
    auto array(std::string_view name) -> const nlohmann::json*;

    // Notes the fields that are not allowed here.
    auto finish() -> void;

    // "services.manifest.address" for this object and a field of it.
    auto path_of(std::string_view name) const -> std::string;

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

// Reads JSON with // and /* */ comments; error_kind::invalid_argument names
// the line and column where it is broken.
auto parse_json(std::string_view text) -> absl::StatusOr<nlohmann::json>;

} // namespace briardrum

#endif
