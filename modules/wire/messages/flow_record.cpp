#include "wire/messages/flow_record.hpp"

#include <array>

namespace briardrum
{

auto to_string(const request_id& id) -> std::string
{
    return to_string(id.flow) + "#" + std::to_string(id.token) + "." +
           std::to_string(id.message_id);
}

auto to_string(request_state state) -> std::string_view
{
    constexpr std::array<std::string_view, 4> names = {"queued", "running",
                                                       "answered", "refused"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace briardrum
