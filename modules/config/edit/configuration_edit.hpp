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

// Maximum number of stored values that one change may write. The store accepts
// up to 128 operations in one transaction.
constexpr std::size_t changes_max = 120;

// The fields of a service or policy that an edit sets. Fields without a value
// are left unchanged.
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

// Creates a preset. If copy_of is not empty, the policies of that preset are
// copied too; those in policies take precedence.
struct create_preset
{
    std::string name;
    std::string copy_of;
    std::map<std::string, service_policy> policies;
};

// Sets fields of the policies in set, and removes the policies in unset. Both
// are identified by service name.
struct edit_preset
{
    std::string name;
    std::map<std::string, policy_fields> set;
    std::vector<std::string> unset;
};

// Replaces all policies of a preset.
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

// Installs a new signing key. The previous one is still accepted for
// verification.
struct rotate_cookie_key
{
    std::array<std::uint8_t, 32> secret{};
};

using configuration_edit =
    std::variant<create_service, edit_service, remove_service, create_preset,
                 edit_preset, replace_preset, remove_preset, use_preset,
                 rotate_cookie_key>;

// Who makes a change and when. The outcome of a change can be looked up by its
// change_id.
struct change_author
{
    std::string change_id;
    std::string name;
    millis at;
};

// The result of an edit: the new configuration and the stored values to write
// or delete.
struct edited_configuration
{
    configuration after;
    std::vector<configuration_change> changes;
};

// Returns the configuration that the first change to an empty store is based
// on: version 0, with one preset, which is in force, and one cookie key.
auto initial_configuration(const std::array<std::uint8_t, 32>& secret)
    -> configuration;

// Applies an edit and validates the resulting configuration. Fails with
// error_kind::not_found if a service, preset or policy to be edited does not
// exist, otherwise with invalid_argument and one line for each problem.
auto apply_edit(const configuration& before, const configuration_edit& edit,
                const change_author& author)
    -> absl::StatusOr<edited_configuration>;

// Returns a short description for the change history, such as
// "use preset peak".
auto summary_of(const configuration_edit& edit) -> std::string;

} // namespace briardrum

#endif
