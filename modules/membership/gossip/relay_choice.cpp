#include "membership/gossip/relay_choice.hpp"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace briardrum
{

auto choose_for_role(std::string_view role, std::span<const member_id> live,
                     std::size_t n) -> std::vector<member_id>
{
    const auto seed = XXH3_64bits(role.data(), role.size());
    std::vector<std::pair<std::uint64_t, member_id>> scored;
    scored.reserve(live.size());
    for (const auto id : live)
    {
        scored.emplace_back(XXH3_64bits_withSeed(&id, sizeof(id), seed), id);
    }
    n = std::min(n, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<long>(n),
                      scored.end());
    std::vector<member_id> chosen;
    for (std::size_t i = 0; i < n; ++i)
    {
        chosen.push_back(scored[i].second);
    }
    return chosen;
}

auto choose_relays(std::string_view data_centre,
                   std::span<const member_id> live) -> std::vector<member_id>
{
    return choose_for_role(data_centre, live, relays_per_data_centre);
}

} // namespace briardrum
