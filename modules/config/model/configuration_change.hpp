#ifndef BRIARDRUM_CONFIG_MODEL_CONFIGURATION_CHANGE_HPP
#define BRIARDRUM_CONFIG_MODEL_CONFIGURATION_CHANGE_HPP

#include <string>

namespace briardrum
{

// A stored value that was written or, if removed is set, deleted. The value of
// a deleted key is empty.
struct configuration_change
{
    std::string key;
    std::string value;
    bool removed = false;

    auto operator==(const configuration_change&) const -> bool = default;
};

} // namespace briardrum

#endif
