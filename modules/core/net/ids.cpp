#include "core/net/ids.hpp"

#include <xxhash.h>

namespace briardrum
{

auto member_id_of(std::string_view name) -> member_id
{
    return XXH3_64bits(name.data(), name.size());
}

auto to_string(const flow_key& key) -> std::string
{
    return to_string(key.caller) + "/" + std::to_string(key.service);
}

} // namespace briardrum
