#ifndef BRIARDRUM_CONFIG_TEXT_PROBLEM_LIST_HPP
#define BRIARDRUM_CONFIG_TEXT_PROBLEM_LIST_HPP

#include "core/core.hpp"

#include <absl/status/status.h>
#include <string>
#include <string_view>
#include <vector>

namespace briardrum
{

// One problem in a document or a change: the path of the field, the value found
// there and the values allowed.
struct problem
{
    std::string field;
    std::string found;
    std::string allowed;
};

// Collects all problems of a document or change, so that they can be fixed in
// one pass. Call add() for each, then status().
class problem_list
{
public:
    auto add(std::string_view field, std::string_view found,
             std::string_view allowed) -> void;

    auto problems() const -> const std::vector<problem>&;
    auto empty() const -> bool;

    // Returns OK if there are no problems, otherwise
    // error_kind::invalid_argument with one line
    // "field: found X, expected Y" for each.
    auto status() const -> absl::Status;

private:
    std::vector<problem> problems_;
};

} // namespace briardrum

#endif
