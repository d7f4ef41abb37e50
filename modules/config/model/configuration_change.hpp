#ifndef BRIARDRUM_CONFIG_MODEL_CONFIGURATION_CHANGE_HPP
#define BRIARDRUM_CONFIG_MODEL_CONFIGURATION_CHANGE_HPP

#include <string>

namespace briardrum
{

// One stored value that changed. An empty value with removed set was deleted.
struct configuration_change
{
    std::string key;
    std::string value;
    bool removed = false;

    auto operator==(const configuration_change&) const -> bool = default;
};

} // namespace briardrum

#endif
