#include "stand_ins/shared/command_line.hpp"

namespace briardrum
{

namespace
{

auto to_endpoint(const std::string& text) -> endpoint
{
    const auto value = parse_endpoint(text);
    if (!value.ok())
    {
        throw CLI::ValidationError(std::string(value.status().message()));
    }
    return *value;
}

} // namespace

auto add_endpoint(CLI::App& app, const std::string& name, endpoint& value,
                  const std::string& help) -> CLI::Option*
{
    return app.add_option_function<std::string>(
        name,
        [&value](const std::string& text)
        {
            value = to_endpoint(text);
        },
        help);
}

auto add_endpoints(CLI::App& app, const std::string& name,
                   std::vector<endpoint>& values, const std::string& help)
    -> CLI::Option*
{
    return app.add_option_function<std::vector<std::string>>(
        name,
        [&values](const std::vector<std::string>& texts)
        {
            for (const auto& text : texts)
            {
                values.push_back(to_endpoint(text));
            }
        },
        help);
}

auto add_millis(CLI::App& app, const std::string& name, millis& value,
                const std::string& help) -> CLI::Option*
{
    return app.add_option(name, value.count, help)
        ->check(CLI::NonNegativeNumber)
        ->capture_default_str();
}

} // namespace briardrum
