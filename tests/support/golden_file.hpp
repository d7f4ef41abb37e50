#ifndef BRIARDRUM_TESTS_SUPPORT_GOLDEN_FILE_HPP
#define BRIARDRUM_TESTS_SUPPORT_GOLDEN_FILE_HPP

#include <string>

namespace briardrum
{

// Compares a text with a file below tests/golden/ and fails the running test
// when they differ. With BRIARDRUM_ACCEPT=1 in the environment the file is
// rewritten first; see ./run golden --accept.
auto check_golden(const std::string& name, const std::string& text) -> void;

} // namespace briardrum

#endif
