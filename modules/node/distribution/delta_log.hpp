#ifndef BRIARDRUM_NODE_DISTRIBUTION_DELTA_LOG_HPP
#define BRIARDRUM_NODE_DISTRIBUTION_DELTA_LOG_HPP

#include "config/config.hpp"
#include "core/core.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace briardrum
{

// Bytes that changes take, as keys and values.
auto payload_size(std::span<const configuration_change> changes) -> std::size_t;

// The latest changes of the configuration, bounded in bytes, from which the
// way from an older version to the newest is put together.
class delta_log
{
public:
    explicit delta_log(std::size_t bytes_max);

    // Adds the step from one version to a later one. A step that does not
    // start where the last one ended empties the log first.
    auto add(configuration_version from, configuration_version to,
             std::vector<configuration_change> changes) -> void;

    // The last value of each key that changed after this version, root last;
    // nothing when the log does not reach back that far. They also lead on
    // from any version between it and the newest.
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
