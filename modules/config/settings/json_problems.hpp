#ifndef BRIARDRUM_CONFIG_SETTINGS_JSON_PROBLEMS_HPP
#define BRIARDRUM_CONFIG_SETTINGS_JSON_PROBLEMS_HPP

#include "core/core.hpp"

#include <absl/status/status.h>
#include <string>
#include <string_view>
#include <vector>

namespace briardrum
{

// One problem in a document: the path of the field, the value found there and
// the values allowed.
struct json_problem
{
    std::string field;
    std::string found;
    std::string allowed;
};

// Collects all problems of one document, so that they can be fixed in one pass.
// Pass it to the checkers of the document, then call status().
class json_problems
{
public:
    // source identifies the document in messages, for example its file path.
    explicit json_problems(std::string source);

    auto add(json_problem problem) -> void;

    auto list() const -> const std::vector<json_problem>&;

    // Returns OK if there are no problems, otherwise
    // error_kind::invalid_argument with one line
    // "source: field: found X; allowed: Y" for each.
    auto status() const -> absl::Status;

private:
    std::string source_;
    std::vector<json_problem> list_;
};

} // namespace briardrum

#endif
