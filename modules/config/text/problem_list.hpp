#ifndef BRIARDRUM_CONFIG_TEXT_PROBLEM_LIST_HPP
#define BRIARDRUM_CONFIG_TEXT_PROBLEM_LIST_HPP

#include "core/core.hpp"

#include <absl/status/status.h>
#include <string>
#include <string_view>
#include <vector>

namespace briardrum
{

// Something that is wrong with a document or a change: the field, what was
// found there and what is allowed.
struct problem
{
    std::string field;
    std::string found;
    std::string allowed;
};

// Collects every problem of one run, so that a person mends them all at
// once. Add as they are found, then ask for status().
class problem_list
{
public:
    auto add(std::string_view field, std::string_view found,
             std::string_view allowed) -> void;

    auto problems() const -> const std::vector<problem>&;
    auto empty() const -> bool;

    // OK when there is no problem; otherwise error_kind::invalid_argument
    // with one line for each.
    auto status() const -> absl::Status;

private:
    std::vector<problem> problems_;
};

} // namespace briardrum

#endif
