#include "io/http/metrics_text.hpp"
#include "io/log/event_limiter.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

TEST_CASE("a flood of one event is kept out of the log and counted")
{
    event_limiter limiter;
    const auto start = seconds(100);
    std::uint32_t admitted = 0;
    for (int n = 0; n < 1000; ++n)
    {
        admitted += limiter.admit(start, "flood") ? 1 : 0;
    }
    CHECK(admitted == event_limiter::events_per_interval);
    CHECK(limiter.admit(start, "other"));
    CHECK(limiter.take_suppressed(start).empty());

    const auto later = start + event_limiter::interval;
    const auto suppressed = limiter.take_suppressed(later);
    REQUIRE(suppressed.size() == 1);
    CHECK(suppressed.front().name == "flood");
    CHECK(suppressed.front().count == 1000 - admitted);
    CHECK(limiter.take_suppressed(later).empty());
    CHECK(limiter.admit(later, "flood"));
}

TEST_CASE("a histogram is written with counts at its bounds")
{
    latency_histogram values;
    for (const auto ms : {3, 30, 30, 300, 9000})
    {
        values.add(milliseconds(ms));
    }
    metrics_text out;
    out.histogram("wait_ms", values);
    const auto text = out.text();
    const auto has = [&](const std::string& line)
    {
        return text.find(line) != std::string::npos;
    };
    CHECK(has("# TYPE briardrum_wait_ms histogram\n"));
    CHECK(has("briardrum_wait_ms_bucket{le=\"5\"} 1\n"));
    CHECK(has("briardrum_wait_ms_bucket{le=\"50\"} 3\n"));
    CHECK(has("briardrum_wait_ms_bucket{le=\"500\"} 4\n"));
    CHECK(has("briardrum_wait_ms_bucket{le=\"+Inf\"} 5\n"));
    CHECK(has("briardrum_wait_ms_count 5\n"));
}

TEST_CASE("metrics are written in the Prometheus text format")
{
    metrics_text out;
    out.counter("sent_total", 3, {"service", "a\"b"});
    out.gauge("flows", 7);
    out.counter("sent_total", 4, {"service", "docs"});
    CHECK(out.text() == "# TYPE briardrum_flows gauge\n"
                        "briardrum_flows 7\n"
                        "# TYPE briardrum_sent_total counter\n"
                        "briardrum_sent_total{service=\"a\\\"b\"} 3\n"
                        "briardrum_sent_total{service=\"docs\"} 4\n");
}
