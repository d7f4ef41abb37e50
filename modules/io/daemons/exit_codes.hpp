#ifndef BRIARDRUM_IO_DAEMONS_EXIT_CODES_HPP
#define BRIARDRUM_IO_DAEMONS_EXIT_CODES_HPP

#include "core/core.hpp"

namespace briardrum
{

// Exit codes of a daemon. An error gives the code of its row in the error
// table: 65 for settings that are wrong, 66 for a file that is missing, 69
// for an address that cannot be had.
constexpr int exit_stopped = 0;

// The command line cannot be understood.
constexpr int exit_usage = 64;

// A second signal came before the graceful stop was over.
constexpr int exit_forced = 3;

inline auto exit_code_of(const absl::Status& status) -> int
{
    return error_mapping_for(error_kind_of(status)).exit_code;
}

} // namespace briardrum

#endif
