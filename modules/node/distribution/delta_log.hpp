#ifndef BRIARDRUM_NODE_DISTRIBUTION_DELTA_LOG_HPP
#define BRIARDRUM_NODE_DISTRIBUTION_DELTA_LOG_HPP

#include "config/config.hpp"
#include "core/core.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace briardrum
{

// The total size of the keys and values, in bytes.
auto payload_size(std::span<const configuration_change> changes) -> std::size_t;

// A log of the latest configuration changes, bounded in bytes. It provides the
// changes that lead from an older version to the newest.
class delta_log
{
public:
    explicit delta_log(std::size_t bytes_max);

    // Adds the changes from one version to a later one. The log is cleared
    // first when from is not the version at which the last step ended.
    auto add(configuration_version from, configuration_version to,
             std::vector<configuration_change> changes) -> void;

    // The latest value of each key that changed after this version, the root
    // key last; nullopt when the log does not reach back that far. The changes
    // can also be applied to any version between from and the newest.
    auto since(configuration_version from) const
        -> std::optional<std::vector<configuration_change>>;

    auto bytes() const -> std::size_t;

private:
    struct step
    {
        configuration_version from = 0;
        configuration_version to = 0;
        std::vector<configuration_change> changes;
    };

    std::size_t bytes_max_;
    std::size_t bytes_ = 0;
    std::deque<step> steps_;
};

} // namespace briardrum

#endif
