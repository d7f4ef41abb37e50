#include "node/distribution/watcher_choice.hpp"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace briardrum
{

auto choose_watchers(std::string_view data_centre,
                     std::span<const member_record> records)
    -> std::vector<member_id>
{
    const auto seed = XXH3_64bits(data_centre.data(), data_centre.size());
    std::vector<std::pair<std::uint64_t, member_id>> scored;
    for (const auto& record : records)
    {
        if (record.state < member_state::suspect &&
            record.data_centre == data_centre)
        {
            const auto score =
                XXH3_64bits_withSeed(&record.id, sizeof(record.id), seed);
            scored.emplace_back(score, record.id);
        }
    }
    const auto count = std::min(watchers_per_data_centre, scored.size());
    const auto end = scored.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(scored.begin(), end, scored.end());
    std::vector<member_id> out;
    for (auto it = scored.begin(); it != end; ++it)
    {
        out.push_back(it->second);
    }
    return out;
}

} // namespace briardrum
