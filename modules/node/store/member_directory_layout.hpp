#ifndef BRIARDRUM_NODE_STORE_MEMBER_DIRECTORY_LAYOUT_HPP
#define BRIARDRUM_NODE_STORE_MEMBER_DIRECTORY_LAYOUT_HPP

#include "node/store/store.hpp"

#include <string>
#include <string_view>

namespace briardrum
{

// Keys of the directory of members in the store.
struct member_directory_layout
{
    std::string prefix = "briardrum/members/";

    // A balancer's entry: its control address.
    auto balancer_key(std::string_view name) const -> std::string;

    // An agent's entry: its control address.
    auto agent_key(std::string_view name) const -> std::string;

    // Returns the name of the agent with this key, or an empty view for
    // another key.
    auto agent_of(std::string_view key) const -> std::string_view;

    // The era in which the entries of the agents were last complete. In another
    // era some may be missing.
    auto era_key() const -> std::string;

    auto all() const -> store_range;
};

} // namespace briardrum

#endif
