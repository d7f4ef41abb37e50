#include "tests/unit/report_fixture.hpp"

#include "report/format/numbers.hpp"
#include "report/model/burn.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

auto outcome_of(error_kind kind, millis latency, bool cancelled = false)
    -> request_outcome
{
    return {urgency::normal, kind, cancelled, latency};
}

auto day_until(millis now) -> report_day
{
    return {day_start, day_start + minutes(60) * 24, now};
}

auto recorder_of(const std::string& name, millis from,
                 incarnation_number incarnation = 1) -> report_recorder
{
    report_recorder out(from, agent_named(name, "manifest", incarnation));
    out.adopt(from, configuration_of("ordinary", 1));
    return out;
}

auto page_of(std::vector<process_report> reports, millis now) -> day_report
{
    return make_day_report(day_until(now), merge_reports(reports), {});
}

auto service_of(const day_report& report, const std::string& name)
    -> const service_day&
{
    const auto it = std::find_if(report.services.begin(), report.services.end(),
                                 [&](const service_day& item)
                                 {
                                     return item.name == name;
                                 });
    REQUIRE(it != report.services.end());
    return *it;
}

} // namespace

TEST_CASE("late, refused, dropped, timed out and cancelled all count as bad")
{
    const auto limit = milliseconds(500);
    const auto end = [&](const request_outcome& outcome)
    {
        return result_of(outcome, limit);
    };
    CHECK(end(outcome_of(error_kind::none, limit)) == request_result::good);
    CHECK(end(outcome_of(error_kind::none, milliseconds(501))) ==
          request_result::late);
    CHECK(end(outcome_of(error_kind::overloaded, {})) ==
          request_result::refused);
    CHECK(end(outcome_of(error_kind::deadline_too_short, {})) ==
          request_result::refused);
    CHECK(end(outcome_of(error_kind::outcome_unknown, {})) ==
          request_result::timed_out);
    CHECK(end(outcome_of(error_kind::server_silent, {})) ==
          request_result::timed_out);
    CHECK(end(outcome_of(error_kind::none, {}, true)) ==
          request_result::cancelled);
    service_counts counts;
    for (std::size_t n = 0; n < request_result_count; ++n)
    {
        counts.add(urgency::bulk, static_cast<request_result>(n), limit);
    }
    CHECK(counts.total() == request_result_count);
    CHECK(counts.bad() == request_result_count - 1);
    CHECK(counts.answered() == 2);
}

TEST_CASE("merged latency histograms give percentiles to within one bucket")
{
    latency_histogram a;
    latency_histogram b;
    for (int n = 1; n <= 1000; ++n)
    {
        (n % 2 == 0 ? a : b).add(milliseconds(n));
    }
    a.merge(b);
    // A bucket spans a factor of 60,000^(1/80), or 1.15.
    for (const double share : {0.1, 0.5, 0.9, 0.99})
    {
        CAPTURE(share);
        const auto exact = share * 1000;
        const auto found = static_cast<double>(a.percentile(share).count);
        CHECK(found >= exact * 0.99);
        CHECK(found <= exact * 1.16);
    }
    CHECK(latency_histogram().percentile(0.5) == millis{});
    a.add(minutes(5));
    CHECK(a.percentile(1) == minutes(1));
    latency_histogram c;
    CHECK_FALSE(c.set_counts(std::vector<std::uint64_t>(3, 1)));
    CHECK(c.set_counts(a.counts()));
    CHECK(c.counts() == a.counts());
}

TEST_CASE("burn rate is the share of bad requests over the allowed share")
{
    CHECK(burn_rate(1, 1000, 999000) == doctest::Approx(1));
    CHECK(burn_rate(10, 1000, 999000) == doctest::Approx(10));
    CHECK(burn_rate(0, 0, 999000) == 0);
    CHECK(burn_rate(0, 10, 1000000) == 0);
    std::vector<day_point> points;
    for (int n = 0; n < 24 * 60; ++n)
    {
        const auto late = n >= 24 * 60 - 5;
        points.push_back({at(0, n), 1000, late ? 100U : 0U});
    }
    const auto rates = burn_rates_at(points, at(24, 0), 999000);
    CHECK(rates.five_minutes == doctest::Approx(100));
    CHECK(rates.hour == doctest::Approx(100.0 * 5 / 60));
    CHECK(rates.six_hours == doctest::Approx(100.0 * 5 / 360));
    CHECK(rates.day == doctest::Approx(100.0 * 5 / 1440));
}

TEST_CASE("merging reports is idempotent and independent of order")
{
    auto a = recorder_of("a1", at(1, 0));
    auto b = recorder_of("a2", at(1, 0));
    a.record_outcome(at(1, 1), "manifest", outcome_of(error_kind::none, {}));
    const auto early = a.report(at(1, 2));
    a.record_outcome(at(1, 1), "manifest", outcome_of(error_kind::none, {}));
    a.record_outcome(at(1, 5), "manifest", outcome_of(error_kind::none, {}));
    b.record_outcome(at(1, 5), "manifest",
                     outcome_of(error_kind::overloaded, {}));
    const auto late = a.report(at(1, 6));
    const auto other = b.report(at(1, 6));
    std::vector<process_report> reports = {early, late, other, early};
    std::sort(reports.begin(), reports.end(),
              [](const process_report& x, const process_report& y)
              {
                  return x.until < y.until;
              });
    auto text = write_reports(merge_reports(reports));
    for (int n = 0; n < 24; ++n)
    {
        std::next_permutation(
            reports.begin(), reports.end(),
            [](const process_report& x, const process_report& y)
            {
                return std::tie(x.process, x.until) <
                       std::tie(y.process, y.until);
            });
        CHECK(write_reports(merge_reports(reports)) == text);
    }
    const auto again = merge_reports(merge_reports(reports));
    CHECK(write_reports(again) == text);
    const auto page = page_of(reports, at(1, 6));
    CHECK(service_of(page, "manifest").counts.total() == 4);
    CHECK(service_of(page, "manifest").counts.bad() == 1);
}

TEST_CASE("a restart loses at most what was counted since the last report")
{
    auto first = recorder_of("a1", at(1, 0), 1);
    first.record_outcome(at(1, 1), "manifest",
                         outcome_of(error_kind::none, {}));
    const auto seen = first.report(at(1, 2));
    // Counted after the last report, so lost when the process dies.
    first.record_outcome(at(1, 2), "manifest",
                         outcome_of(error_kind::none, {}));
    auto second = recorder_of("a1", at(1, 3), 2);
    second.record_outcome(at(1, 3), "manifest",
                          outcome_of(error_kind::none, {}));
    const auto page = page_of({seen, second.report(at(1, 4))}, at(1, 4));
    CHECK(service_of(page, "manifest").counts.total() == 2);
    REQUIRE(page.coverage_gaps.size() == 1);
    CHECK(page.coverage_gaps[0].process == "a1");
    CHECK(page.coverage_gaps[0].from == at(1, 2));
    CHECK(page.coverage_gaps[0].to == at(1, 3));
    CHECK(page.headline.find("not counted") != std::string::npos);
}

TEST_CASE("a crash leaves a coverage gap, a graceful shutdown does not")
{
    auto left = recorder_of("a1", at(1, 0));
    left.finish();
    auto died = recorder_of("a2", at(1, 0));
    const auto page =
        page_of({left.report(at(2, 0)), died.report(at(2, 0))}, at(5, 0));
    REQUIRE(page.coverage_gaps.size() == 1);
    CHECK(page.coverage_gaps[0].process == "a2");
    CHECK(page.coverage_gaps[0].from == at(2, 0));
    CHECK(page.coverage_gaps[0].to == at(5, 0));
}

TEST_CASE("headline states whether the day went well, or what did not")
{
    auto recorder = recorder_of("a1", at(0, 0));
    for (int n = 0; n < 999; ++n)
    {
        recorder.record_outcome(at(1, 0), "manifest",
                                outcome_of(error_kind::none, milliseconds(20)));
    }
    recorder.record_outcome(at(1, 0), "manifest",
                            outcome_of(error_kind::overloaded, {}));
    auto page = page_of({recorder.report(at(9, 0))}, at(9, 0));
    CHECK(page.went_well);
    CHECK(write_text(page).starts_with("Today is going well so far: "));
    recorder.record_broken_flow(at(8, 0), "manifest");
    page = page_of({recorder.report(at(9, 0))}, at(9, 0));
    CHECK_FALSE(page.went_well);
    CHECK(write_text(page).starts_with(
        "Today is not going well: manifest broke 1 flow."));
    recorder.record_outcome(at(1, 0), "manifest",
                            outcome_of(error_kind::outcome_unknown, {}));
    page = page_of({recorder.report(at(25, 0))}, at(25, 0));
    CHECK(page.headline ==
          "2026-12-04 did not go well: manifest broke 1 flow and used 200% of "
          "its error budget.");
    const auto empty =
        page_of({recorder_of("a1", at(0, 0)).report(at(9, 0))}, at(9, 0));
    CHECK_FALSE(empty.went_well);
    CHECK(empty.headline == "Today: nothing was counted.");
}

TEST_CASE(
    "imbalance is the busiest server over the mean, including idle servers")
{
    std::vector<process_report> reports;
    for (int server = 0; server < 3; ++server)
    {
        auto recorder = recorder_of("a" + std::to_string(server), at(0, 0));
        for (int n = 0; n < server * 100; ++n)
        {
            recorder.record_outcome(at(1, 0), "manifest",
                                    outcome_of(error_kind::none, {}));
        }
        reports.push_back(recorder.report(at(9, 0)));
    }
    const auto page = page_of(reports, at(9, 0));
    const auto& manifest = service_of(page, "manifest");
    CHECK(manifest.servers == 3);
    REQUIRE(manifest.imbalance.has_value());
    CHECK(*manifest.imbalance == doctest::Approx(2));
}

TEST_CASE("page shows when each preset was in force")
{
    auto a = recorder_of("a1", at(0, 0));
    auto b = recorder_of("a2", at(3, 0));
    a.adopt(at(6, 1), configuration_of("peak", 7));
    b.adopt(at(6, 0), configuration_of("peak", 7));
    a.adopt(at(8, 0), configuration_of("peak", 8));
    a.adopt(at(9, 0), configuration_of("ordinary", 9));
    const auto page =
        page_of({a.report(at(12, 0)), b.report(at(12, 0))}, at(12, 0));
    REQUIRE(page.presets.size() == 3);
    CHECK(page.presets[0].preset == "ordinary");
    CHECK(page.presets[0].to == at(6, 0));
    CHECK(page.presets[1].preset == "peak");
    CHECK(page.presets[1].from == at(6, 0));
    CHECK(page.presets[1].to == at(9, 0));
    CHECK(page.presets[2].preset == "ordinary");
    CHECK(page.presets[2].to == at(12, 0));
}

TEST_CASE("page lists processes with an outdated configuration")
{
    auto a = recorder_of("a1", at(0, 0));
    auto b = recorder_of("a2", at(0, 0));
    auto gone = recorder_of("a3", at(0, 0));
    b.adopt(at(6, 0), configuration_of("peak", 7));
    const auto page = page_of(
        {a.report(at(12, 0)), b.report(at(12, 0)), gone.report(at(5, 0))},
        at(12, 0));
    REQUIRE(page.lagging.size() == 1);
    CHECK(page.lagging[0].process == "a1");
    CHECK(page.lagging[0].version == 1);
    CHECK(page.lagging[0].newest == 7);
}

TEST_CASE("reports round-trip through JSON, and invalid input is rejected")
{
    auto recorder = recorder_of("a1", at(1, 0));
    recorder.record_outcome(at(1, 1), "manifest",
                            outcome_of(error_kind::none, milliseconds(31)));
    recorder.record_broken_flow(at(1, 2), "docs");
    const std::vector<process_report> reports = {recorder.report(at(1, 3))};
    const auto text = write_reports(reports);
    const auto read = read_reports(text);
    REQUIRE(read.ok());
    CHECK(write_reports(*read) == text);
    CHECK(error_kind_of(read_reports("{}").status()) == error_kind::malformed);
    CHECK(error_kind_of(read_reports("no json").status()) ==
          error_kind::malformed);
    CHECK(error_kind_of(read_reports("[1]").status()) == error_kind::malformed);
    CHECK(error_kind_of(read_reports(R"({"briardrum_report":2})").status()) ==
          error_kind::wrong_version);
    // Truncated input must give an error, not a crash.
    for (std::size_t n = 0; n < text.size() - 2; n += 7)
    {
        CHECK_FALSE(read_reports(text.substr(0, n)).ok());
    }
}

TEST_CASE("recorder keeps only the last day of intervals")
{
    auto recorder = recorder_of("a1", at(0, 0));
    for (int minute = 0; minute < 3 * 24 * 60; ++minute)
    {
        recorder.record_outcome(at(0, minute), "manifest",
                                outcome_of(error_kind::none, {}));
    }
    const auto kept = recorder.report(at(72, 0)).intervals.size();
    CHECK(kept >= 24 * 60);
    CHECK(kept <= 25 * 60 + 1);
}

TEST_CASE("numbers and times are formatted for people")
{
    CHECK(format_count(0) == "0");
    CHECK(format_count(999) == "999");
    CHECK(format_count(1234567) == "1,234,567");
    CHECK(format_percent(0.99912, 2) == "99.91%");
    CHECK(format_duration(milliseconds(999)) == "999 ms");
    CHECK(format_duration(milliseconds(1250)) == "1.2 s");
    CHECK(format_date(day_start) == "2026-12-04");
    CHECK(format_time(at(16, 5), day_start) == "16:05");
    CHECK(format_time(at(24, 0), day_start) == "24:00");
}
