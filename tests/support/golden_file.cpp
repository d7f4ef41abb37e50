#include "tests/support/golden_file.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>
#include <string_view>

namespace briardrum
{

namespace
{

auto read_file(const std::string& path) -> std::string
{
    const std::ifstream in(path);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace

auto check_golden(const std::string& name, const std::string& text) -> void
{
    const auto path = std::string(BRIARDRUM_SOURCE_DIR "/tests/golden/") + name;
    const char* accept = std::getenv("BRIARDRUM_ACCEPT");
    if (accept != nullptr && std::string_view(accept) == "1")
    {
        std::ofstream(path) << text;
    }
    CHECK(read_file(path) == text);
}

} // namespace briardrum
