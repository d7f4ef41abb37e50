#ifndef BRIARDRUM_IO_DAEMONS_DAEMON_FILES_HPP
#define BRIARDRUM_IO_DAEMONS_DAEMON_FILES_HPP

#include "config/config.hpp"

#include <absl/status/statusor.h>
#include <memory>

namespace briardrum
{

// Reads a whole configuration from a file, for a process without a store.
auto load_configuration(const std::string& file)
    -> absl::StatusOr<std::shared_ptr<const configuration>>;

} // namespace briardrum

#endif
