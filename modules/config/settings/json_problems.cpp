#include "config/settings/json_problems.hpp"

#include <utility>

namespace briardrum
{

json_problems::json_problems(std::string source) : source_(std::move(source)) {}

auto json_problems::add(json_problem problem) -> void
{
    list_.push_back(std::move(problem));
}

auto json_problems::list() const -> const std::vector<json_problem>&
{
    return list_;
}

auto json_problems::status() const -> absl::Status
{
    if (list_.empty())
    {
        return absl::OkStatus();
    }
    std::string text;
    for (const auto& it : list_)
    {
        text += text.empty() ? "" : "\n";
        text += source_ + ": " + it.field + ": found " + it.found +
                "; allowed: " + it.allowed;
    }
    return make_error(error_kind::invalid_argument, text);
}

} // namespace briardrum
