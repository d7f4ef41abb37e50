#ifndef BRIARDRUM_TESTS_SUPPORT_CONTROL_SAMPLES_HPP
#define BRIARDRUM_TESTS_SUPPORT_CONTROL_SAMPLES_HPP

#include "wire/wire.hpp"

#include <vector>

namespace briardrum
{

// One control message of each kind, every field set to something that is not
// its default.
auto control_samples() -> std::vector<control_message>;

} // namespace briardrum

#endif
