#ifndef BRIARDRUM_IO_OPERATOR_CHANGE_COMMAND_HPP
#define BRIARDRUM_IO_OPERATOR_CHANGE_COMMAND_HPP

#include "config/config.hpp"
#include "io/operator/operator_options.hpp"

#include <absl/status/status.h>

namespace briardrum
{

// Makes one change: reads what the store holds, applies the edit, checks the
// whole, writes it as one transaction and prints the outcome. With dry_run
// the difference is printed and nothing written.
auto make_change(const operator_options& options,
                 const configuration_edit& edit) -> absl::Status;

} // namespace briardrum

#endif
