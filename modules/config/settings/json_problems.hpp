#ifndef BRIARDRUM_CONFIG_SETTINGS_JSON_PROBLEMS_HPP
#define BRIARDRUM_CONFIG_SETTINGS_JSON_PROBLEMS_HPP

#include "core/core.hpp"

#include <absl/status/status.h>
#include <string>
#include <string_view>
#include <vector>

namespace briardrum
{

// One fault of a document: the field, what stands there, what may.
struct json_problem
{
    std::string field;
    std::string found;
    std::string allowed;
};

// Every fault found in one document, so that its writer can mend them all at
// once. Hand one to the checkers of a document, then ask for status().
class json_problems
{
public:
    // source is the file, or whatever names the document to its writer.
    explicit json_problems(std::string source);

    auto add(json_problem problem) -> void;

    auto list() const -> const std::vector<json_problem>&;

    // OK without problems; else error_kind::invalid_argument with a line
    // "source: field: found X; allowed Y" for each.
    auto status() const -> absl::Status;

private:
    std::string source_;
    std::vector<json_problem> list_;
};

} // namespace briardrum

#endif
