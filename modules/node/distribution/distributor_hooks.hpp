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

// Callbacks through which a configuration_distributor uses its process.
struct distributor_hooks
{
    // Return the own record, all known records, and the record of one member
    // or nullptr.
    std::function<const member_record&()> self;
    std::function<std::span<const member_record>()> records;
    std::function<const member_record*(member_id)> find;
    // Publishes the adopted version in the own record.
    std::function<void(millis, configuration_version)> announce;
    std::function<void(const endpoint&, const control_message&)> send;
    // Called after a larger version has been adopted; may be empty.
    std::function<void(millis, std::shared_ptr<const configuration>)> adopted;
    event_sink events;
};

// Returns hooks with self, records, find and announce bound to this view, which
// must outlive them.
auto make_distributor_hooks(member_view& members) -> distributor_hooks;

} // namespace briardrum

#endif
