#include "tests/support/golden_file.hpp"
#include "tests/unit/report_fixture.hpp"

#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

// Requests per minute by time of day: quiet at night, busy in the morning.
auto rate_at(int minute) -> int
{
    const auto hour = minute / 60;
    return hour < 5 ? 1 : hour < 8 ? 3 : hour < 13 ? 8 : hour < 18 ? 5 : 2;
}

auto record_minute(report_recorder& recorder, const std::string& service,
                   int minute, random_source& random) -> void
{
    for (int n = 0; n < rate_at(minute); ++n)
    {
        const millis spent{static_cast<std::int64_t>(20 + random.below(160))};
        recorder.record_outcome(
            at(0, minute), service,
            {urgency::normal, error_kind::none, false, spent});
    }
}

// Simulates an overload of bulk requests for the docs service from 10:00 to
// 10:40.
auto record_flood(report_recorder& recorder, int minute, random_source& random)
    -> void
{
    if (minute < 600 || minute >= 640)
    {
        return;
    }
    for (int n = 0; n < 6; ++n)
    {
        const auto level = n < 5 ? urgency::bulk : urgency::normal;
        const millis waited{static_cast<std::int64_t>(random.below(900))};
        recorder.record_outcome(at(0, minute), "docs",
                                {level, error_kind::overloaded, false, waited});
    }
    recorder.record_result(at(0, minute), "docs", urgency::bulk,
                           request_result::dropped, {});
}

auto run_server(const std::string& name, const std::string& service, int from,
                int to, incarnation_number incarnation, random_source& random)
    -> report_recorder
{
    report_recorder out(at(0, from), agent_named(name, service, incarnation));
    out.adopt(at(0, from), configuration_of("ordinary", 1));
    for (int minute = from; minute < to; ++minute)
    {
        record_minute(out, service, minute, random);
        if (service == "docs")
        {
            record_flood(out, minute, random);
        }
    }
    return out;
}

auto make_day(bool with_problems) -> std::vector<process_report>
{
    random_source random(4);
    constexpr int end = 16 * 60 + 5;
    std::vector<process_report> out;
    for (int n = 1; n <= 3; ++n)
    {
        const auto name = "manifest-" + std::to_string(n);
        auto recorder = run_server(name, "manifest", 0, end, 1, random);
        recorder.adopt(at(9, 30), configuration_of("peak", 2));
        recorder.adopt(at(12, 0), configuration_of("ordinary", 3));
        if (with_problems && n == 2)
        {
            recorder.record_broken_flow(at(11, 0), "manifest");
        }
        out.push_back(recorder.report(at(0, end)));
    }
    if (!with_problems)
    {
        return out;
    }
    auto first = run_server("docs-1", "docs", 0, 700, 1, random);
    out.push_back(first.report(at(0, 700)));
    auto second = run_server("docs-1", "docs", 702, end, 2, random);
    out.push_back(second.report(at(0, end)));
    auto other = run_server("docs-2", "docs", 0, end, 1, random);
    out.push_back(other.report(at(0, end)));
    return out;
}

} // namespace

TEST_CASE("golden: page of a day without problems")
{
    const auto page = make_day_report({day_start, at(24, 0), at(16, 5)},
                                      merge_reports(make_day(false)), {});
    check_golden("report/well.txt", write_text(page));
    check_golden("report/well.html", write_html(page));
}

TEST_CASE("golden: page of a day with overload, a broken flow and a restart")
{
    const std::vector<std::string> unreachable = {"10.0.0.9:9100"};
    const auto page =
        make_day_report({day_start, at(24, 0), at(16, 5)},
                        merge_reports(make_day(true)), unreachable);
    check_golden("report/amiss.txt", write_text(page));
    check_golden("report/amiss.html", write_html(page));
}
