#ifndef BRIARDRUM_CONFIG_MODEL_CONFIGURATION_HPP
#define BRIARDRUM_CONFIG_MODEL_CONFIGURATION_HPP

#include "config/model/preset.hpp"
#include "config/model/service.hpp"

#include <array>
#include <map>
#include <string>

namespace briardrum
{

// Key that signs the cookies of non-repeatable requests. Id 0 means "no key".
struct cookie_key
{
    std::uint8_t id = 0;
    std::array<std::uint8_t, 32> secret{};

    auto operator==(const cookie_key&) const -> bool = default;
};

// The configuration of the fleet at one version. It is treated as immutable:
// each change produces a new value with a higher version.
struct configuration
{
    configuration_version version = 0;
    // Id, author and time of the last change.
    std::string change_id;
    std::string changed_by;
    millis changed_at;
    std::string in_force;
    service_id next_service_id = 1;
    std::map<std::string, service> services;
    std::map<std::string, preset> presets;
    // The first key signs new cookies; both are accepted for verification.
    std::array<cookie_key, 2> cookie_keys;

    auto operator==(const configuration&) const -> bool = default;

    // Returns the service with this id, address or name, or nullptr.
    auto find(service_id id) const -> const service*;
    auto find(const endpoint& address) const -> const service*;
    auto find(const std::string& name) const -> const service*;

    // Returns the policy for a service in the preset in force, or the default
    // policy if the preset has none for it.
    auto policy_of(service_id id) const -> service_policy;
};

} // namespace briardrum

#endif
