#ifndef BRIARDRUM_NODE_STORE_POLICY_SOURCE_HPP
#define BRIARDRUM_NODE_STORE_POLICY_SOURCE_HPP

#include "membership/policy/policy_spreader.hpp"
#include "node/store/store.hpp"

#include <optional>
#include <set>

namespace briardrum
{

// Derives the placement policy from the keys of the store. Does no I/O: a
// document_watch with a prefix passes in what it receives.
//
// Call on_limits() before on_read() or on_events() of the same answer.
class policy_source
{
public:
    // Keys with this prefix name an evacuated data centre each.
    policy_source(std::string evacuation_prefix,
                  std::function<void(const stored_policy&)> on_stored);

    // The limits on cold servers in a configuration that could be read, and
    // the revision of that configuration.
    auto on_limits(std::vector<service_warm_up> limits, store_revision at)
        -> void;

    // A complete read of the watched keys.
    auto on_read(const store_range_result& result) -> void;

    // Events that continue the last read.
    auto on_events(const store_watch_batch& batch) -> void;

    // The limits that another member knows. They count before the first
    // configuration that could be read. Without either, no policy is reported:
    // it would end limits that are in force.
    auto set_known_limits(std::vector<service_warm_up> limits) -> void;

private:
    auto data_centre_of(const std::string& key) const -> std::string;
    auto report(store_era era, store_revision confirmed) -> void;

    std::string prefix_;
    std::function<void(const stored_policy&)> on_stored_;
    std::set<std::string> evacuated_;
    std::optional<std::vector<service_warm_up>> limits_;
    bool limits_read_ = false;
    store_revision changed_at_ = 0;
};

} // namespace briardrum

#endif
