#ifndef BRIARDRUM_NODE_STORE_CONFIGURATION_LOAD_HPP
#define BRIARDRUM_NODE_STORE_CONFIGURATION_LOAD_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "node/store/store_layout.hpp"

#include <memory>

namespace briardrum
{

// The configuration as the store held it at one revision; nullptr when the
// store holds none.
struct loaded_configuration
{
    std::shared_ptr<const configuration> value;
    store_revision revision = 0;
    // The last write of the root value, for a compare; 0 without one.
    store_revision root_revision = 0;
};

// Reads the whole configuration, page by page at one revision. done runs
// once; the store must outlive the load.
auto load_configuration(store& source, const store_layout& layout,
                        store_callback<loaded_configuration> done) -> void;

} // namespace briardrum

#endif
