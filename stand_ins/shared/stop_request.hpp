#ifndef BRIARDRUM_STAND_INS_SHARED_STOP_REQUEST_HPP
#define BRIARDRUM_STAND_INS_SHARED_STOP_REQUEST_HPP

namespace briardrum
{

// Makes SIGTERM and SIGINT set a flag instead of ending the process.
auto catch_stop_signals() -> void;

// True once one of them came.
auto is_stop_requested() -> bool;

} // namespace briardrum

#endif
