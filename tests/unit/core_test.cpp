#include "config/config.hpp"
#include "core/core.hpp"
#include "routing/routing.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace briardrum;

TEST_CASE("endpoints are parsed and formatted")
{
    const auto value = parse_endpoint("10.0.0.1:5683");
    REQUIRE(value.ok());
    CHECK(to_string(*value) == "10.0.0.1:5683");
    for (const auto* text : {"", "10.0.0.1", "10.0.0.256:1", "10.0.0.1:70000",
                             "10.0.0.1:1x", "a.b.c.d:1"})
    {
        CAPTURE(text);
        CHECK(error_kind_of(parse_endpoint(text).status()) ==
              error_kind::invalid_argument);
    }
}

TEST_CASE("every error kind is mapped, not_run only for requests not run")
{
    for (std::size_t n = 0; n < error_kind_count; ++n)
    {
        const auto kind = static_cast<error_kind>(n);
        CHECK(error_mapping_for(kind).kind == kind);
    }
    CHECK_FALSE(error_mapping_for(error_kind::outcome_unknown).not_run);
    CHECK(error_mapping_for(error_kind::overloaded).not_run);
    CHECK(error_kind_of(make_error(error_kind::hop_limit, "x")) ==
          error_kind::hop_limit);
}

TEST_CASE("a table keeps the remaining rows when rows are erased")
{
    table<int, int> rows;
    for (int n = 0; n < 100; ++n)
    {
        rows.insert(n) = n * n;
    }
    const auto removed = rows.erase_if(
        [](int key, int)
        {
            return key % 3 == 0;
        });
    CHECK(removed == 34);
    CHECK(rows.find(3) == nullptr);
    REQUIRE(rows.find(98) != nullptr);
    CHECK(*rows.find(98) == 98 * 98);
}

TEST_CASE("rendezvous hashing moves only the flows of a removed candidate")
{
    std::vector<candidate> all;
    for (member_id id = 1; id <= 7; ++id)
    {
        all.push_back({id, 5});
    }
    auto without = all;
    without.erase(without.begin() + 2);
    std::map<member_id, int> counts;
    for (std::uint16_t port = 1; port <= 7000; ++port)
    {
        const flow_key flow{{0x0a000001, port}, 1};
        const auto before = rendezvous_first(flow, all);
        const auto after = rendezvous_first(flow, without);
        ++counts[before];
        CHECK((before == after || before == 3));
        CHECK(rendezvous_order(flow, all).front() == before);
    }
    for (const auto& [id, count] : counts)
    {
        CHECK(count > 850);
        CHECK(count < 1150);
    }
}
