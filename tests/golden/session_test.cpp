#include "bench/rig/deployment.hpp"
#include "tests/support/golden_file.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <string_view>

using namespace briardrum;
using namespace briardrum::rig;

namespace
{

// The events that tell a flow's story; probes and gossip are left out.
auto belongs_to_story(std::string_view line) -> bool
{
    constexpr std::array<std::string_view, 10> told = {"event=flow_placed",
                                                       "event=flow_received",
                                                       "event=flow_handed_over",
                                                       "event=redirect_learnt",
                                                       "event=ready",
                                                       "event=draining",
                                                       "event=cookie_missing",
                                                       "event=cookie_invalid",
                                                       "state=dead",
                                                       "event=server_lost"};
    return std::any_of(told.begin(), told.end(),
                       [&](std::string_view part)
                       {
                           return line.find(part) != std::string_view::npos;
                       });
}

// One service with three servers and two balancers, six callers of which two
// stream, and every event of the story from the first packet on.
class session
{
public:
    session() : fleet_(1)
    {
        fleet_.record_events(&events_);
        build(fleet_, {"small", {{"orders", 3, 3, urgency::urgent, 50}}, 2});
        caller_profile profile;
        profile.think_mean = seconds(2);
        add_callers(fleet_, "orders", 4, profile, seconds(2));
        profile.streams = true;
        add_callers(fleet_, "orders", 2, profile, seconds(2));
        fleet_.run_for(seconds(10));
    }

    auto fleet() -> briardrum::rig::rig&
    {
        return fleet_;
    }

    // Lets everything end, and gives the whole session as text.
    auto finish() -> std::string
    {
        fleet_.run_for(seconds(20));
        fleet_.finish_callers();
        fleet_.run_for(seconds(100));
        std::string text;
        for (const auto& line : events_)
        {
            if (belongs_to_story(line))
            {
                text += line + "\n";
            }
        }
        const auto& sums = fleet_.totals("orders");
        for (const auto& line : sums.notes)
        {
            text += line + "\n";
        }
        text += "answered=" + std::to_string(sums.answered) +
                " of=" + std::to_string(sums.sent) +
                " broken_flows=" + std::to_string(sums.broken_flows) +
                " unknown=" + std::to_string(sums.outcome_unknown) + "\n";
        for (const auto& line : fleet_.check())
        {
            text += "FAULT " + line + "\n";
        }
        return text;
    }

private:
    briardrum::rig::rig fleet_;
    std::vector<std::string> events_;
};

} // namespace

TEST_CASE("session: a server drains and every flow moves whole")
{
    session it;
    it.fleet().drain("orders-1");
    it.fleet().run_for(seconds(5));
    CHECK(it.fleet().is_quiet("orders-1"));
    it.fleet().kill("orders-1");
    check_golden("sessions/drain.txt", it.finish());
}

TEST_CASE("session: a server joins and no flow moves")
{
    session it;
    it.fleet().add_agent("orders-4", "orders");
    it.fleet().run_for(seconds(5));
    check_golden("sessions/join.txt", it.finish());
}

TEST_CASE("session: a killed server loses its own flows and no others")
{
    session it;
    it.fleet().kill("orders-1");
    check_golden("sessions/kill.txt", it.finish());
}

TEST_CASE("session: a server's process dies and its agent saves the flows")
{
    session it;
    it.fleet().kill_server("orders-1");
    check_golden("sessions/server_lost.txt", it.finish());
}
