#include "config/settings/hedging_settings.hpp"

#include "config/settings/process_settings.hpp"

namespace briardrum
{

namespace
{

constexpr real_range percentile_range = {50, 99.9};
constexpr real_range share_range = {0, 0.2};
constexpr number_range cap_range = {1, 1000};
// A kept opening packet is discarded after 400 ms.
constexpr number_range floor_range = {5, 400};

auto read_settings(const nlohmann::json& document, json_problems& problems)
    -> hedging_settings
{
    json_checker from(document, "", problems);
    hedging_settings out;
    out.enabled = from.flag("enabled");
    out.percentile =
        from.optional_real("percentile", percentile_range, out.percentile);
    out.share = from.optional_real("share", share_range, out.share);
    out.cap = static_cast<std::uint32_t>(
        from.optional_number("cap", cap_range, out.cap));
    out.floor = milliseconds(static_cast<std::int64_t>(from.optional_number(
        "floor_ms", floor_range, static_cast<std::uint64_t>(out.floor.count))));
    from.finish();
    return out;
}

} // namespace

auto parse_hedging_settings(std::string_view text, const std::string& source)
    -> absl::StatusOr<hedging_settings>
{
    json_problems problems(source);
    const auto document = parse_json(text, problems);
    hedging_settings out;
    if (document.has_value())
    {
        out = read_settings(*document, problems);
    }
    auto status = problems.status();
    return status.ok() ? absl::StatusOr<hedging_settings>(out) : status;
}

auto load_hedging_settings(const std::string& file)
    -> absl::StatusOr<hedging_settings>
{
    json_problems problems(file);
    const auto text = read_file(file, problems);
    return text.has_value() ? parse_hedging_settings(*text, file)
                            : problems.status();
}

} // namespace briardrum
