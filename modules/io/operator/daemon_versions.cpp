#include "io/operator/daemon_versions.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <future>
#include <httplib.h>

namespace briardrum
{

namespace
{

constexpr std::size_t asked_at_once_max = 16;
constexpr std::chrono::milliseconds ask_timeout(2000);
constexpr std::string_view version_metric =
    "\nbriardrum_configuration_version ";

auto ask(const endpoint& address) -> daemon_version
{
    const auto text = to_string(address);
    httplib::Client client(text.substr(0, text.find(':')), address.port);
    client.set_connection_timeout(ask_timeout);
    client.set_read_timeout(ask_timeout);
    const auto answer = client.Get("/metrics");
    if (!answer)
    {
        return {address, std::nullopt};
    }
    return {address, version_in_metrics(answer->body)};
}

} // namespace

auto version_in_metrics(std::string_view text)
    -> std::optional<configuration_version>
{
    const auto at = text.find(version_metric);
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    configuration_version out = 0;
    const auto* begin = text.data() + at + version_metric.size();
    const auto [next, ec] =
        std::from_chars(begin, text.data() + text.size(), out);
    return ec == std::errc{} ? std::optional(out) : std::nullopt;
}

auto ask_daemon_versions(std::span<const endpoint> daemons)
    -> std::vector<daemon_version>
{
    std::vector<daemon_version> out;
    while (!daemons.empty())
    {
        const auto n = std::min(daemons.size(), asked_at_once_max);
        std::vector<std::future<daemon_version>> asked;
        for (const auto& address : daemons.first(n))
        {
            asked.push_back(std::async(std::launch::async, ask, address));
        }
        for (auto& item : asked)
        {
            out.push_back(item.get());
        }
        daemons = daemons.subspan(n);
    }
    return out;
}

} // namespace briardrum
