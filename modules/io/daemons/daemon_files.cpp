#include "io/daemons/daemon_files.hpp"

namespace briardrum
{

auto load_configuration(const std::string& file)
    -> absl::StatusOr<std::shared_ptr<const configuration>>
{
    json_problems problems(file);
    const auto text = read_file(file, problems);
    if (!text.has_value())
    {
        return problems.status();
    }
    auto parsed = parse_configuration(*text);
    if (!parsed.ok())
    {
        return make_error(error_kind_of(parsed.status()),
                          file + ": " + std::string(parsed.status().message()));
    }
    return std::make_shared<const configuration>(std::move(*parsed));
}

} // namespace briardrum
