#include "routing/choice/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace briardrum
{

namespace
{

// Hashes the flow. score() uses the result as the seed for each candidate's id.
auto hash_flow(const flow_key& flow) -> std::uint64_t
{
    const std::uint64_t words[2] = {
        (std::uint64_t{flow.caller.address} << 16U) | flow.caller.port,
        flow.service};
    return XXH3_64bits(words, sizeof(words));
}

// Higher is better. With equal weights, candidates are ordered by hash.
auto score(std::uint64_t flow_hash, const candidate& item) -> double
{
    constexpr double steps = 9007199254740992.0; // 2^53
    const auto hash =
        XXH3_64bits_withSeed(&item.id, sizeof(item.id), flow_hash);
    const auto unit = (static_cast<double>(hash >> 11U) + 0.5) / steps;
    return -static_cast<double>(item.weight) / std::log(unit);
}

} // namespace

auto rendezvous_first(const flow_key& flow, std::span<const candidate> from)
    -> member_id
{
    const auto flow_hash = hash_flow(flow);
    member_id best = 0;
    double best_score = -1;
    for (const auto& item : from)
    {
        if (item.weight == 0)
        {
            continue;
        }
        const auto value = score(flow_hash, item);
        if (value > best_score || (value == best_score && item.id < best))
        {
            best = item.id;
            best_score = value;
        }
    }
    return best;
}

auto rendezvous_order(const flow_key& flow, std::span<const candidate> from)
    -> std::vector<member_id>
{
    const auto flow_hash = hash_flow(flow);
    std::vector<std::pair<double, member_id>> scored;
    scored.reserve(from.size());
    for (const auto& item : from)
    {
        if (item.weight != 0)
        {
            scored.emplace_back(-score(flow_hash, item), item.id);
        }
    }
    std::sort(scored.begin(), scored.end());
    std::vector<member_id> order;
    order.reserve(scored.size());
    for (const auto& [value, id] : scored)
    {
        order.push_back(id);
    }
    return order;
}

} // namespace briardrum
