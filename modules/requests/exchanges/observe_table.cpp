#include "requests/exchanges/observe_table.hpp"

#include <utility>

namespace briardrum
{

auto observe_table::add(std::uint64_t server_token, observe_row row) -> void
{
    const auto flow = row.id.flow;
    const auto earlier = token_of(flow, row.id.token);
    if (earlier != 0 && earlier != server_token)
    {
        erase(earlier);
    }
    if (rows_.find(server_token) == nullptr)
    {
        by_flow_.insert(flow).push_back(server_token);
    }
    rows_.insert(server_token) = std::move(row);
}

auto observe_table::find(std::uint64_t server_token) -> observe_row*
{
    return rows_.find(server_token);
}

auto observe_table::token_of(const flow_key& flow,
                             std::uint64_t caller_token) const -> std::uint64_t
{
    const auto* tokens = by_flow_.find(flow);
    if (tokens == nullptr)
    {
        return 0;
    }
    for (const auto token : *tokens)
    {
        if (rows_.find(token)->id.token == caller_token)
        {
            return token;
        }
    }
    return 0;
}

auto observe_table::erase(std::uint64_t server_token) -> void
{
    const auto* row = rows_.find(server_token);
    if (row == nullptr)
    {
        return;
    }
    const auto flow = row->id.flow;
    rows_.erase(server_token);
    auto* tokens = by_flow_.find(flow);
    std::erase(*tokens, server_token);
    if (tokens->empty())
    {
        by_flow_.erase(flow);
    }
}

auto observe_table::extract(const flow_key& flow) -> std::vector<observe_record>
{
    std::vector<observe_record> out;
    const auto* found = by_flow_.find(flow);
    if (found == nullptr)
    {
        return out;
    }
    const auto tokens = *found;
    for (const auto token : tokens)
    {
        auto& row = *rows_.find(token);
        out.push_back({row.id, std::move(row.request), row.sequence});
        erase(token);
    }
    return out;
}

auto observe_table::has(const flow_key& flow) const -> bool
{
    return by_flow_.find(flow) != nullptr;
}

auto observe_table::rows() -> table<std::uint64_t, observe_row>&
{
    return rows_;
}

} // namespace briardrum
