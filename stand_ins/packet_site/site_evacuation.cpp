#include "stand_ins/packet_site/site_evacuation.hpp"

#include <cstdio>

namespace briardrum::stand_in
{

namespace
{

constexpr std::size_t data_centres = 3;
constexpr std::size_t first_server = 1;
constexpr std::chrono::seconds start_delay(1);

} // namespace

site_evacuation::site_evacuation(asio::io_context& context,
                                 site_operator& operators,
                                 const site_servers& servers,
                                 std::chrono::milliseconds deadline)
    : operators_(operators), servers_(servers), timer_(context)
{
    timer_.expires_after(start_delay);
    timer_.async_wait(
        [this, deadline](const asio::error_code& ec)
        {
            if (!ec)
            {
                begin(deadline);
            }
        });
}

auto site_evacuation::begin(std::chrono::milliseconds deadline) -> void
{
    operators_.evacuate(data_centre);
    timer_.expires_after(deadline);
    timer_.async_wait(
        [this](const asio::error_code& ec)
        {
            if (!ec)
            {
                in_force_ = true;
                at_deadline_ = accepted_flows();
            }
        });
}

auto site_evacuation::end() -> void
{
    at_end_ = accepted_flows();
    operators_.withdraw(data_centre);
}

auto site_evacuation::report() const -> bool
{
    const auto number = [](std::uint64_t value)
    {
        return static_cast<unsigned long long>(value);
    };
    const auto late = at_end_ - at_deadline_;
    const auto after = accepted_flows() - at_end_;
    std::printf("event=site_evacuation in_force=%s opened_before=%llu "
                "opened_late=%llu opened_after=%llu\n",
                in_force_ ? "yes" : "no", number(at_deadline_), number(late),
                number(after));
    return in_force_ && at_deadline_ > 0 && late == 0 && after > 0;
}

auto site_evacuation::accepted_flows() const -> std::uint64_t
{
    std::uint64_t out = 0;
    for (auto n = first_server; n < servers_.size(); n += data_centres)
    {
        out += servers_[n]->accepted_flows();
    }
    return out;
}

} // namespace briardrum::stand_in
