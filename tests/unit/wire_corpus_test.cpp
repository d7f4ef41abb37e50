#include "wire/wire.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace briardrum;

namespace
{

namespace fs = std::filesystem;

// Returns the seed inputs of one fuzz target.
auto read_corpus(const std::string& name) -> std::vector<byte_buffer>
{
    std::vector<byte_buffer> seeds;
    const fs::path folder = fs::path(BRIARDRUM_SOURCE_DIR) / "fuzz/corpus";
    for (const auto& it : fs::directory_iterator(folder / name))
    {
        std::ifstream file(it.path(), std::ios::binary);
        const std::string text{std::istreambuf_iterator<char>(file), {}};
        seeds.push_back(to_buffer(as_bytes(text)));
    }
    REQUIRE_FALSE(seeds.empty());
    return seeds;
}

} // namespace

TEST_CASE("the fuzz corpus is valid for the current schemas")
{
    for (const auto& bytes : read_corpus("coap"))
    {
        CHECK(read_coap(bytes).ok());
    }
    for (const auto& bytes : read_corpus("envelope"))
    {
        CHECK(decode_envelope(bytes).ok());
    }
    for (const auto& bytes : read_corpus("control"))
    {
        CHECK(decode_control(bytes).ok());
    }
    CHECK(read_corpus("control").size() == std::variant_size_v<control_body>);
    for (const auto& bytes : read_corpus("proxy"))
    {
        CHECK(read_proxy_header(bytes).ok());
    }
}
