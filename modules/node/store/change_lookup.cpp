#include "node/store/change_lookup.hpp"

#include <array>
#include <utility>

namespace briardrum
{

namespace
{

auto classify_change(const std::string& change_id,
                     configuration_version stored_version,
                     const store_range_result& slot) -> change_status
{
    change_status out;
    const auto version = version_of_change_id(change_id);
    if (!slot.values.empty())
    {
        out.entry = read_history_entry(slot.values[0].value);
    }
    if (out.entry.has_value() && out.entry->change_id == change_id)
    {
        out.state = change_state::accepted;
    }
    else if (out.entry.has_value() && out.entry->version > version)
    {
        out.state = change_state::forgotten;
    }
    else if (stored_version >= version)
    {
        out.state = change_state::refused;
    }
    return out;
}

} // namespace

auto to_string(change_state state) -> std::string_view
{
    constexpr std::array<std::string_view, 4> names = {"accepted", "refused",
                                                       "pending", "forgotten"};
    return names.at(static_cast<std::size_t>(state));
}

auto look_up_change(store& source, const store_layout& layout,
                    const std::string& change_id,
                    store_callback<change_status> done) -> void
{
    const auto slot_key = layout.history_key(version_of_change_id(change_id));
    source.range(
        {layout.key_of(root_key), "", 0, 0},
        [&source, slot_key, change_id,
         done = std::move(done)](const absl::StatusOr<store_range_result>& root)
        {
            if (!root.ok())
            {
                done(root.status());
                return;
            }
            const auto stored_version =
                root->values.empty()
                    ? 0
                    : parse_root_version(root->values[0].value);
            source.range(
                {slot_key, "", 0, 0},
                [change_id, stored_version,
                 done](const absl::StatusOr<store_range_result>& slot)
                {
                    if (!slot.ok())
                    {
                        done(slot.status());
                        return;
                    }
                    done(classify_change(change_id, stored_version, *slot));
                });
        });
}

} // namespace briardrum
