#include "io/http/http_message.hpp"

#include <absl/strings/match.h>
#include <algorithm>

namespace briardrum
{

auto find_header(const http_headers& headers, std::string_view name)
    -> const std::string*
{
    const auto it = std::find_if(
        headers.begin(), headers.end(),
        [&](const auto& field)
        {
            return absl::EqualsIgnoreCase(
                absl::string_view(field.first.data(), field.first.size()),
                absl::string_view(name.data(), name.size()));
        });
    return it == headers.end() ? nullptr : &it->second;
}

} // namespace briardrum
