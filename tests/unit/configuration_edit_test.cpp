#include "config/config.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

const change_author author{"1-aa", "anna", seconds(5)};

// Applies edits in order. Each must succeed, increase the version by one and
// produce changes that lead to the same configuration.
auto after_edits(configuration value,
                 const std::vector<configuration_edit>& edits) -> configuration
{
    for (const auto& edit : edits)
    {
        const auto edited = apply_edit(value, edit, author);
        REQUIRE_MESSAGE(edited.ok(), edited.status().message());
        CHECK(edited->after.version == value.version + 1);
        const auto base = value.version == 0 ? configuration{} : value;
        const auto again = apply_changes(base, edited->changes);
        REQUIRE_MESSAGE(again.ok(), again.status().message());
        CHECK(*again == edited->after);
        value = edited->after;
    }
    return value;
}

auto share_fields(std::uint32_t percent) -> policy_fields
{
    policy_fields out;
    out.share_percent = percent;
    return out;
}

auto sample_configuration() -> configuration
{
    return after_edits(
        initial_configuration({}),
        {create_service{"orders", {endpoint{0x0a000001, 5683}, {}}},
         create_service{"surveys", {endpoint{0x0a000002, 5683}, {}}},
         edit_preset{"ordinary", {{"orders", share_fields(60)}}, {}},
         create_preset{"peak", "ordinary", {}},
         edit_preset{"peak", {{"surveys", share_fields(20)}}, {}}});
}

// Returns the error message of an edit that must be rejected.
auto rejection_message(const configuration& value,
                       const configuration_edit& edit,
                       error_kind kind = error_kind::invalid_argument)
    -> std::string
{
    const auto edited = apply_edit(value, edit, author);
    REQUIRE_FALSE(edited.ok());
    CHECK(error_kind_of(edited.status()) == kind);
    return std::string(edited.status().message());
}

auto contains(const std::string& text, std::string_view part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("an edit produces the next version and the changes that lead to it")
{
    const auto value = sample_configuration();
    CHECK(value.version == 5);
    CHECK(value.presets.at("peak").policies.size() == 2);
    const auto used = after_edits(value, {use_preset{"peak"}});
    CHECK(used.policy_of(1).share_percent == 60);
    const auto removed = after_edits(
        used, {edit_preset{"peak", {}, {"surveys"}}, remove_service{"surveys"},
               remove_preset{"ordinary"}});
    CHECK(removed.presets.size() == 1);
    const auto added = after_edits(
        removed, {create_service{"docs", {endpoint{0x0a000002, 5683}, {}}}});
    // The id of a removed service is not reused.
    CHECK(added.find("docs")->id == 3);
}

TEST_CASE(
    "the size of a policy change does not depend on the number of services")
{
    auto value = sample_configuration();
    for (std::uint32_t n = 0; n < 10'000; ++n)
    {
        const auto name = "s" + std::to_string(n);
        value.services[name] = {value.next_service_id++, name,
                                endpoint{0x0b000000 + n, 5683}};
    }
    const auto edited = apply_edit(
        value, edit_preset{"peak", {{"orders", share_fields(50)}}, {}}, author);
    REQUIRE(edited.ok());
    CHECK(edited->changes.size() == 2);
    std::size_t bytes = 0;
    for (const auto& change : edited->changes)
    {
        bytes += change.key.size() + change.value.size();
    }
    CHECK(bytes < 512);
}

TEST_CASE("invalid edits are rejected")
{
    const auto value = sample_configuration();
    CHECK(contains(
        rejection_message(value, remove_service{"surveys"}),
        "a removal while preset peak has a non-default policy for it"));
    CHECK(contains(rejection_message(value, remove_preset{"ordinary"}),
                   "in force"));
    CHECK(contains(
        rejection_message(value, edit_preset{"peak",
                                             {{"orders", share_fields(90)},
                                              {"surveys", share_fields(0)},
                                              {"wax", share_fields(200)}},
                                             {}}),
        "presets.peak.wax: found no service"));
    const auto all =
        rejection_message(value, edit_preset{"peak",
                                             {{"orders", share_fields(90)},
                                              {"surveys", share_fields(0)}},
                                             {}});
    CHECK(contains(all, "presets.peak.surveys.share_percent: found 0"));
    CHECK(contains(
        rejection_message(
            value, edit_preset{"peak", {{"orders", share_fields(90)}}, {}}),
        "presets.peak: found shares of 110%"));
    CHECK(contains(
        rejection_message(
            value, create_service{"docs", {endpoint{0x0a000001, 5683}, {}}}),
        "an address that no other service has"));
    CHECK(contains(rejection_message(value, create_service{"docs", {}}),
                   "no address"));
    CHECK(contains(
        rejection_message(value, create_service{"Docs", {endpoint{1, 1}, {}}}),
        "lower-case letters"));
    CHECK(contains(
        rejection_message(value, use_preset{"storm"}, error_kind::not_found),
        "there are: ordinary, peak"));
    CHECK(contains(rejection_message(value, create_preset{"peak", "", {}}),
                   "exists already"));
}

TEST_CASE("a rotation keeps the previous cookie key as the second key")
{
    std::array<std::uint8_t, 32> secret{};
    secret[0] = 7;
    const auto before = sample_configuration();
    const auto after = after_edits(before, {rotate_cookie_key{secret}});
    CHECK(after.cookie_keys[0] == cookie_key{2, secret});
    CHECK(after.cookie_keys[1] == before.cookie_keys[0]);
    CHECK(describe_difference(before, after) ==
          std::vector<std::string>{"~ cookie_key 1 -> 2"});
}

TEST_CASE("differences are described one per line")
{
    const auto before = sample_configuration();
    const auto after = after_edits(
        before,
        {edit_preset{"peak", {{"orders", share_fields(50)}}, {"surveys"}},
         create_service{"docs", {endpoint{0x0a000003, 5683}, {}}},
         use_preset{"peak"}});
    const auto lines = describe_difference(before, after);
    REQUIRE(lines.size() == 4);
    CHECK(lines[0].starts_with("+ service docs address 10.0.0.3:5683"));
    CHECK(lines[1] == "- preset peak surveys");
    CHECK(lines[2] == "~ preset peak orders share_percent 60 -> 50");
    CHECK(lines[3] == "~ in_force ordinary -> peak");
}
