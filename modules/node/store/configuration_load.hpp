#ifndef BRIARDRUM_NODE_STORE_CONFIGURATION_LOAD_HPP
#define BRIARDRUM_NODE_STORE_CONFIGURATION_LOAD_HPP

#include "config/config.hpp"
#include "core/core.hpp"
#include "node/store/store_layout.hpp"

#include <memory>
#include <optional>
#include <string>

namespace briardrum
{

// The configuration stored at one revision. value is nullptr when the store
// has no configuration.
struct loaded_configuration
{
    std::shared_ptr<const configuration> value;
    store_position position;
    // The root value, for use in a compare; each change writes another one.
    // Nothing when it does not exist.
    std::optional<std::string> root;
};

// Reads the whole configuration page by page, all pages at the same revision;
// error_kind::unavailable when the store is restored between two pages.
// done is called once; the store must outlive the load.
auto load_configuration(store& source, const store_layout& layout,
                        store_callback<loaded_configuration> done) -> void;

} // namespace briardrum

#endif
