#include "packets/model/packet_label.hpp"

#include <xxhash.h>

namespace briardrum
{

auto to_string(label_kind kind) -> std::string_view
{
    switch (kind)
    {
    case label_kind::none:
        return "none";
    case label_kind::forward:
        return "forward";
    case label_kind::offer:
        return "offer";
    case label_kind::settle:
        return "settle";
    case label_kind::relay:
        return "relay";
    case label_kind::locate:
        return "locate";
    case label_kind::owned:
        return "owned";
    case label_kind::hint:
        return "hint";
    case label_kind::unowned:
        return "unowned";
    case label_kind::hedge:
        break;
    }
    return "hedge";
}

auto service_tag_of(std::string_view service_name) -> service_tag
{
    const auto hash = XXH32(service_name.data(), service_name.size(), 0);
    return hash == 0 ? 1 : hash;
}

} // namespace briardrum
