#ifndef BRIARDRUM_CONFIG_EDIT_CONFIGURATION_EDIT_HPP
#define BRIARDRUM_CONFIG_EDIT_CONFIGURATION_EDIT_HPP

#include "config/model/configuration.hpp"
#include "config/model/configuration_change.hpp"

#include <absl/status/statusor.h>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace briardrum
{

// Values that one change may write; a store takes 128 in one transaction.
constexpr std::size_t changes_max = 120;

// The fields of a service or policy that an operator named; the others stay.
struct service_fields
{
    std::optional<endpoint> address;
    std::optional<method_set> repeatable;
};

struct policy_fields
{
    std::optional<std::uint32_t> share_percent;
    std::optional<urgency> level;
    std::optional<std::uint32_t> queue_limit;
    std::optional<millis> default_deadline;
    std::optional<std::uint32_t> objective_ppm;
    std::optional<millis> objective_latency;
    std::optional<std::uint32_t> retry_percent;
};

struct create_service
{
    std::string name;
    service_fields fields;
};

struct edit_service
{
    std::string name;
    service_fields fields;
};

struct remove_service
{
    std::string name;
};

// A new preset, with the policies of another when copy_of names one.
struct create_preset
{
    std::string name;
    std::string copy_of;
    std::map<std::string, service_policy> policies;
};

// Changes the named fields of some policies, and takes others out.
struct edit_preset
{
    std::string name;
    std::map<std::string, policy_fields> set;
    std::vector<std::string> unset;
};

// Gives a preset exactly these policies.
struct replace_preset
{
    std::string name;
    std::map<std::string, service_policy> policies;
};

struct remove_preset
{
    std::string name;
};

struct use_preset
{
    std::string name;
};

// The new key signs from now on; the one that signed so far still verifies.
struct rotate_cookie_key
{
    std::array<std::uint8_t, 32> secret{};
};

using configuration_edit =
    std::variant<create_service, edit_service, remove_service, create_preset,
                 edit_preset, replace_preset, remove_preset, use_preset,
                 rotate_cookie_key>;

// Who makes a change, when, and the id by which its outcome can be asked.
struct change_author
{
    std::string change_id;
    std::string name;
    millis at;
};

// The outcome of an edit: the next configuration, and what to write.
struct edited_configuration
{
    configuration after;
    std::vector<configuration_change> changes;
};

// What the first change of an empty store starts from: one preset, in force,
// and one cookie key, at version 0.
auto initial_configuration(const std::array<std::uint8_t, 32>& secret)
    -> configuration;

// Applies an edit and checks the whole. error_kind::not_found for a service
// or preset that does not exist, invalid_argument with a line for each
// problem otherwise.
auto apply_edit(const configuration& before, const configuration_edit& edit,
                const change_author& author)
    -> absl::StatusOr<edited_configuration>;

// The edit in a few words, as history shows it: "use preset peak".
auto summary_of(const configuration_edit& edit) -> std::string;

} // namespace briardrum

#endif
