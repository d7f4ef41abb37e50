#include "config/text/problem_list.hpp"

namespace briardrum
{

auto problem_list::add(std::string_view field, std::string_view found,
                       std::string_view allowed) -> void
{
    problems_.push_back(
        {std::string(field), std::string(found), std::string(allowed)});
}

auto problem_list::problems() const -> const std::vector<problem>&
{
    return problems_;
}

auto problem_list::empty() const -> bool
{
    return problems_.empty();
}

auto problem_list::status() const -> absl::Status
{
    if (problems_.empty())
    {
        return absl::OkStatus();
    }
    std::string text;
    for (const auto& item : problems_)
    {
        text += text.empty() ? "" : "\n";
        text +=
            item.field + ": found " + item.found + ", expected " + item.allowed;
    }
    return make_error(error_kind::invalid_argument, text);
}

} // namespace briardrum
