#ifndef BRIARDRUM_TESTS_SUPPORT_CONTROL_SAMPLES_HPP
#define BRIARDRUM_TESTS_SUPPORT_CONTROL_SAMPLES_HPP

#include "wire/wire.hpp"

#include <vector>

namespace briardrum
{

// Returns one control message of each type with every field set to a value
// other than its default.
auto control_samples() -> std::vector<control_message>;

} // namespace briardrum

#endif
