#include "stand_ins/store/store_faults.hpp"

#include <nlohmann/json.hpp>

namespace briardrum::stand_in
{

auto parse_store_faults(std::string_view text) -> absl::StatusOr<store_faults>
{
    try
    {
        const auto object = nlohmann::json::parse(text, nullptr, true, true);
        store_faults out;
        out.down = object.value("down", false);
        out.slow = {object.value("slow_ms", std::int64_t{0})};
        out.lose_answers = object.value("lose_answers", std::uint32_t{0});
        out.down_after_write = object.value("down_after_write", false);
        out.silent_watches = object.value("silent_watches", false);
        out.repeat_events = object.value("repeat_events", false);
        out.late_events = {object.value("late_events_ms", std::int64_t{0})};
        out.expire_leases = object.value("expire_leases", false);
        return out;
    }
    catch (const nlohmann::json::exception& error)
    {
        return make_error(error_kind::invalid_argument, error.what());
    }
}

} // namespace briardrum::stand_in
