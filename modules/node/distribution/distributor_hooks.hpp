#ifndef BRIARDRUM_NODE_DISTRIBUTION_DISTRIBUTOR_HOOKS_HPP
#define BRIARDRUM_NODE_DISTRIBUTION_DISTRIBUTOR_HOOKS_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "wire/wire.hpp"

#include <functional>
#include <memory>
#include <span>

namespace briardrum
{

class member_view;

// What a configuration_distributor needs from its process.
struct distributor_hooks
{
    // The own record, every known record, and the record of one member or
    // nullptr.
    std::function<const member_record&()> self;
    std::function<std::span<const member_record>()> records;
    std::function<const member_record*(member_id)> find;
    // Says in the own record which version is held.
    std::function<void(millis, configuration_version)> announce;
    std::function<void(const endpoint&, const control_message&)> send;
    // A larger version is in force here from now on.
    std::function<void(millis, std::shared_ptr<const configuration>)> adopted;
    event_sink events;
};

// Hooks for self, records, find and announce that use this view; the view
// must outlive them.
auto make_distributor_hooks(member_view& members) -> distributor_hooks;

} // namespace briardrum

#endif
