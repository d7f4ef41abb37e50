#include "platform/operator_configuration.hpp"
#include "platform/settings_file.hpp"

// Any text as a settings file and as the operators' configuration: refused or
// read, never more.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int
{
    using namespace briardrum;
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto settings =
        platform::parse_settings(text, member_kind::agent, "fuzz");
    const auto configuration = platform::read_configuration(text);
    return settings.ok() && configuration.ok() ? -1 : 0;
}
