#ifndef BRIARDRUM_MEMBERSHIP_RECORDS_MEMBER_ROTATION_HPP
#define BRIARDRUM_MEMBERSHIP_RECORDS_MEMBER_ROTATION_HPP

#include "core/core.hpp"

#include <functional>
#include <vector>

namespace briardrum
{

// Iterates over members in random order, returning each once before any is
// repeated, so that the time until a given member comes up is bounded.
class member_rotation
{
public:
    // Returns the next member that usable() accepts, or 0. refill() returns the
    // members of the next round.
    auto next(random_source& random,
              const std::function<std::vector<member_id>()>& refill,
              const std::function<bool(member_id)>& usable) -> member_id;

private:
    auto take(const std::function<bool(member_id)>& usable) -> member_id;

    std::vector<member_id> order_;
};

} // namespace briardrum

#endif
