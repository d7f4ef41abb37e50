#include "node/store/store.hpp"

namespace briardrum
{

auto prefix_end(std::string_view prefix) -> std::string
{
    std::string out(prefix);
    // The caller passed a prefix without an upper bound: empty, or ending in
    // 0xff.
    BRIARDRUM_INVARIANT(!out.empty() && out.back() != '\xff');
    ++out.back();
    return out;
}

} // namespace briardrum
