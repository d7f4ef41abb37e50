#ifndef BRIARDRUM_STAND_INS_BACKEND_SERVER_SLOT_POOL_HPP
#define BRIARDRUM_STAND_INS_BACKEND_SERVER_SLOT_POOL_HPP

#include "core/core.hpp"

#include <vector>

namespace briardrum
{

// The slots of a backend server: each runs one request at a time, others wait
// in order of arrival. Because every request's time is known beforehand, its
// end is known when it arrives.
class slot_pool
{
public:
    explicit slot_pool(std::uint32_t slots);

    // Takes a request in; gives the time at which it is done.
    auto start(millis now, millis work) -> millis;

    // Requests that run or wait.
    auto in_progress(millis now) -> std::size_t;

    auto slots() const -> std::size_t;

private:
    std::vector<millis> free_at_;
    // When each request that is not done yet will be.
    std::vector<millis> ends_;
};

} // namespace briardrum

#endif
