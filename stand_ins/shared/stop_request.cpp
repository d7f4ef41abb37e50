#include "stand_ins/shared/stop_request.hpp"

#include <csignal>

namespace briardrum
{

namespace
{

volatile std::sig_atomic_t stop_requested = 0;

} // namespace

auto catch_stop_signals() -> void
{
    const auto handler = [](int /*signal*/)
    {
        stop_requested = 1;
    };
    std::signal(SIGTERM, handler);
    std::signal(SIGINT, handler);
}

auto is_stop_requested() -> bool
{
    return stop_requested != 0;
}

} // namespace briardrum
