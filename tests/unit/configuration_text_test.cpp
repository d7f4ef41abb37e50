#include "config/config.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

constexpr auto sample_text = R"({
    // both services of the association
    "version": 7,
    "in_force": "ordinary",
    "services": {
        "orders": {"address": "10.1.0.1:5683"},
        "surveys": {"id": 9, "address": "10.1.0.2:5683",
                    "repeatable": ["GET", "POST"]}
    },
    "presets": {
        "ordinary": {"orders": {"share_percent": 60, "urgency": "urgent"},
                     "surveys": {"share_percent": 40, "urgency": "bulk"}},
        "maintenance": {}
    },
    "cookie_keys": [{"id": 3, "secret":
"000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"}]
})";

} // namespace

TEST_CASE("a configuration document is parsed and written")
{
    const auto value = parse_configuration(sample_text);
    REQUIRE_MESSAGE(value.ok(), value.status().message());
    CHECK(value->version == 7);
    CHECK(value->find("orders")->id == 10);
    CHECK(value->next_service_id == 11);
    CHECK(value->find("surveys")->repeatable ==
          (method_bit(1) | method_bit(2)));
    CHECK(value->policy_of(10).level == urgency::urgent);
    CHECK(value->cookie_keys[0].secret[31] == 31);
    CHECK(value->cookie_keys[1].id == 0);
    const auto again = parse_configuration(write_configuration(*value));
    REQUIRE_MESSAGE(again.ok(), again.status().message());
    CHECK(*again == *value);
}

TEST_CASE("all problems of a document are reported together")
{
    const auto value = parse_configuration(R"({
        "in_force": "peak", "colour": "red",
        "services": {"orders": {"address": "10.1.0.1:5683"},
                     "Surveys": {"address": "10.1.0.1:5683"},
                     "docs": {"address": "nowhere"}},
        "presets": {"ordinary": {"orders": {"share_percent": 0},
                                 "docs": {"share_percent": 60},
                                 "wax": {"share_percent": 50}}}
    })");
    REQUIRE_FALSE(value.ok());
    CHECK(error_kind_of(value.status()) == error_kind::invalid_argument);
    const std::string text(value.status().message());
    CAPTURE(text);
    for (const auto* part :
         {"colour: found an unknown field", "services.Surveys: found the name",
          "used by", "services.docs.address: found \"nowhere\"",
          ("presets.ordinary.orders.share_percent: found 0, expected a whole "
           "number from 1 to 100"),
          "presets.ordinary.wax: found no service of that name",
          "presets.ordinary: found shares of 120%", "in_force: found \"peak\""})
    {
        CAPTURE(part);
        CHECK(text.find(part) != std::string::npos);
    }
}

TEST_CASE("a JSON syntax error is reported with its line")
{
    const auto value = parse_configuration("{\n  \"version\": ,\n}");
    CHECK(error_kind_of(value.status()) == error_kind::invalid_argument);
    CHECK(value.status().message().find("line 2") != std::string::npos);
}
