#include "report/model/report_json.hpp"

#include <nlohmann/json.hpp>

namespace briardrum
{

namespace
{

using nlohmann::json;

constexpr int format_version = 1;

// Writes pairs of bucket index and count, without empty buckets.
auto write_latency(const latency_histogram& latency) -> json
{
    auto out = json::array();
    const auto counts = latency.counts();
    for (std::size_t n = 0; n < counts.size(); ++n)
    {
        if (counts[n] > 0)
        {
            out.push_back({n, counts[n]});
        }
    }
    return out;
}

auto read_latency(const json& from, latency_histogram& out) -> void
{
    if (from.empty())
    {
        return;
    }
    // Allocates the buckets, so that counts() has the right size.
    out.add({});
    std::vector<std::uint64_t> counts(out.counts().size(), 0);
    for (const auto& item : from)
    {
        counts.at(item.at(0).get<std::size_t>()) =
            item.at(1).get<std::uint64_t>();
    }
    out.set_counts(counts);
}

auto write_counts(const service_counts& counts) -> json
{
    return {{"ends", counts.results},
            {"broken_flows", counts.broken_flows},
            {"latency", write_latency(counts.latency)}};
}

auto write_intervals(const process_report& report) -> json
{
    auto out = json::array();
    for (const auto& [start, services] : report.intervals)
    {
        auto item = json::object();
        for (const auto& [name, counts] : services)
        {
            item[name] = write_counts(counts);
        }
        out.push_back({{"start", start.count}, {"services", item}});
    }
    return out;
}

auto write_objectives(const process_report& report) -> json
{
    auto out = json::object();
    for (const auto& [name, item] : report.objectives)
    {
        out[name] = {{"objective_ppm", item.objective_ppm},
                     {"latency_ms", item.latency.count}};
    }
    return out;
}

auto write_presets(const process_report& report) -> json
{
    auto out = json::array();
    for (const auto& item : report.presets)
    {
        out.push_back({{"version", item.version},
                       {"preset", item.preset},
                       {"from", item.from.count}});
    }
    return out;
}

auto write_process(const process_report& report) -> json
{
    return {{"process", report.process},
            {"life", report.incarnation},
            {"kind", to_string(report.kind)},
            {"data_centre", report.data_centre},
            {"service", report.service},
            {"slots", report.slots},
            {"from", report.from.count},
            {"until", report.until.count},
            {"finished", report.finished},
            {"version", report.version},
            {"objectives", write_objectives(report)},
            {"presets", write_presets(report)},
            {"intervals", write_intervals(report)}};
}

auto read_time(const json& from) -> millis
{
    return {from.get<std::int64_t>()};
}

auto read_counts(const json& from) -> service_counts
{
    service_counts out;
    from.at("ends").get_to(out.results);
    from.at("broken_flows").get_to(out.broken_flows);
    read_latency(from.at("latency"), out.latency);
    return out;
}

auto read_intervals(const json& from, process_report& out) -> void
{
    for (const auto& item : from)
    {
        auto& services = out.intervals[read_time(item.at("start"))];
        for (const auto& [name, counts] : item.at("services").items())
        {
            services.emplace(name, read_counts(counts));
        }
    }
}

auto read_process(const json& from) -> process_report
{
    process_report out;
    from.at("process").get_to(out.process);
    from.at("life").get_to(out.incarnation);
    const auto is_agent = from.at("kind") == "agent";
    out.kind = is_agent ? member_kind::agent : member_kind::balancer;
    from.at("data_centre").get_to(out.data_centre);
    from.at("service").get_to(out.service);
    from.at("slots").get_to(out.slots);
    out.from = read_time(from.at("from"));
    out.until = read_time(from.at("until"));
    from.at("finished").get_to(out.finished);
    from.at("version").get_to(out.version);
    for (const auto& [name, item] : from.at("objectives").items())
    {
        const auto ppm = item.at("objective_ppm").get<std::uint32_t>();
        out.objectives[name] = {ppm, read_time(item.at("latency_ms"))};
    }
    for (const auto& item : from.at("presets"))
    {
        out.presets.push_back({item.at("version").get<configuration_version>(),
                               item.at("preset").get<std::string>(),
                               read_time(item.at("from"))});
    }
    read_intervals(from.at("intervals"), out);
    return out;
}

} // namespace

auto write_reports(std::span<const process_report> reports) -> std::string
{
    auto processes = json::array();
    for (const auto& item : reports)
    {
        processes.push_back(write_process(item));
    }
    const json out = {{"briardrum_report", format_version},
                      {"processes", processes}};
    return out.dump() + "\n";
}

auto read_reports(std::string_view text)
    -> absl::StatusOr<std::vector<process_report>>
{
    try
    {
        const auto from = json::parse(text);
        if (from.at("briardrum_report") != format_version)
        {
            return make_error(error_kind::wrong_version,
                              "the report has an unsupported format version");
        }
        std::vector<process_report> out;
        for (const auto& item : from.at("processes"))
        {
            out.push_back(read_process(item));
        }
        return out;
    }
    catch (const std::exception& ex)
    {
        return make_error(error_kind::malformed,
                          std::string("not a report: ") + ex.what());
    }
}

} // namespace briardrum
