#include "io/operator/command_files.hpp"

#include "config/settings/process_settings.hpp"
#include "config/text/entity_text.hpp"
#include "config/text/json_fields.hpp"

namespace briardrum
{

namespace
{

auto read_document(const std::string& file) -> absl::StatusOr<nlohmann::json>
{
    json_problems problems(file);
    const auto text = read_file(file, problems);
    if (!text.has_value())
    {
        return problems.status();
    }
    auto document = parse_json(*text, problems);
    if (!document.has_value())
    {
        return problems.status();
    }
    return *std::move(document);
}

} // namespace

auto read_preset_file(const std::string& file)
    -> absl::StatusOr<std::map<std::string, service_policy>>
{
    const auto document = read_document(file);
    if (!document.ok())
    {
        return document.status();
    }
    problem_list problems;
    const json_fields shape(*document, file, problems);
    std::map<std::string, service_policy> out;
    if (document->is_object())
    {
        for (const auto& [name, value] : document->items())
        {
            out[name] = read_policy(value, shape.path_of(name), problems);
        }
    }
    if (!problems.empty())
    {
        return problems.status();
    }
    return out;
}

auto read_service_file(const std::string& file)
    -> absl::StatusOr<service_fields>
{
    const auto document = read_document(file);
    if (!document.ok())
    {
        return document.status();
    }
    problem_list problems;
    const auto value = read_service(*document, file, problems);
    if (!problems.empty())
    {
        return problems.status();
    }
    return service_fields{value.address, value.repeatable};
}

} // namespace briardrum
