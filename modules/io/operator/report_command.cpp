#include "io/operator/report_command.hpp"

#include "io/operator/report_fetch.hpp"

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>

namespace briardrum
{

namespace
{

constexpr millis day_length = minutes(60) * 24;

auto describe(const absl::Status& status) -> std::string
{
    return std::string(status.message());
}

auto start_of_day(millis wall) -> millis
{
    return wall / day_length.count * day_length.count;
}

// Written beside and renamed, so that a reader never sees half a file.
auto write_file(const std::string& path, const std::string& text)
    -> absl::Status
{
    const auto part = path + ".part";
    std::ofstream(part) << text;
    std::error_code ec;
    std::filesystem::rename(part, path, ec);
    if (ec)
    {
        return make_error(error_kind::unavailable,
                          "cannot write " + path + ": " + ec.message());
    }
    return absl::OkStatus();
}

} // namespace

report_command::report_command(CLI::App& app)
    : command_(app.add_subcommand(
          "report", "Write the page that says whether a day went well"))
{
    command_->add_option("--from", daemons_,
                         "HTTP address of a daemon, like 10.0.0.1:9100");
    command_->add_option("--file", files_,
                         "Saved reports, as a daemon serves at /report");
    command_->add_option("--keep", keep_,
                         "File to merge with and to save the reports in, so "
                         "that restarts of daemons lose nothing more");
    command_->add_option("--day", day_, "UTC date like 2026-12-04 (today)");
    command_->add_option("--out", out_, "File for the page (standard output)");
    command_->add_option("--format", format_, "text, html or json")
        ->check(CLI::IsMember({"text", "html", "json"}))
        ->capture_default_str();
}

auto report_command::parsed() const -> bool
{
    return command_->parsed();
}

auto report_command::run(millis now, std::ostream& out, std::ostream& errors)
    -> int
{
    const auto fail = [&](const absl::Status& status)
    {
        errors << "briardrum report: " << describe(status) << "\n";
        return int{error_mapping_for(error_kind_of(status)).exit_code};
    };
    const auto day = parse_day(day_, now);
    if (!day.ok())
    {
        return fail(day.status());
    }
    collect(errors);
    if (reports_.empty())
    {
        return fail(make_error(
            error_kind::unavailable,
            "nothing to report: name daemons by --from or files by --file"));
    }
    if (const auto kept = keep(); !kept.ok())
    {
        return fail(kept);
    }
    if (const auto wrote = write_page(page(*day), out); !wrote.ok())
    {
        return fail(wrote);
    }
    return 0;
}

auto report_command::collect(std::ostream& errors) -> void
{
    auto paths = files_;
    if (!keep_.empty() && std::filesystem::exists(keep_))
    {
        paths.push_back(keep_);
    }
    for (const auto& path : paths)
    {
        if (const auto status = read_file(path); !status.ok())
        {
            errors << "briardrum report: " << describe(status) << "\n";
            unreachable_.push_back(path);
        }
    }
    for (const auto& daemon : daemons_)
    {
        const auto address = parse_endpoint(daemon);
        const auto got =
            address.ok() ? fetch_reports(*address) : address.status();
        if (!got.ok())
        {
            errors << "briardrum report: " << describe(got.status()) << "\n";
            unreachable_.push_back(daemon);
            continue;
        }
        reports_.insert(reports_.end(), got->begin(), got->end());
    }
    reports_ = merge_reports(reports_);
}

auto report_command::read_file(const std::string& path) -> absl::Status
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    if (!in)
    {
        return make_error(error_kind::not_found, "cannot read " + path);
    }
    const auto got = read_reports(text.str());
    if (!got.ok())
    {
        return make_error(error_kind_of(got.status()),
                          path + ": " + describe(got.status()));
    }
    reports_.insert(reports_.end(), got->begin(), got->end());
    return absl::OkStatus();
}

auto report_command::keep() const -> absl::Status
{
    // A kept file that cannot be read is not written over.
    const auto unread = std::find(unreachable_.begin(), unreachable_.end(),
                                  keep_) != unreachable_.end();
    if (keep_.empty() || unread)
    {
        return absl::OkStatus();
    }
    return write_file(keep_, write_reports(reports_));
}

auto report_command::page(const report_day& day) const -> std::string
{
    if (format_ == "json")
    {
        return write_reports(reports_);
    }
    const auto report = make_day_report(day, reports_, unreachable_);
    return format_ == "html" ? write_html(report) : write_text(report);
}

auto report_command::write_page(const std::string& text,
                                std::ostream& out) const -> absl::Status
{
    if (!out_.empty())
    {
        return write_file(out_, text);
    }
    out << text;
    return absl::OkStatus();
}

auto parse_day(const std::string& date, millis now)
    -> absl::StatusOr<report_day>
{
    if (date.empty())
    {
        const auto start = start_of_day(now);
        return report_day{start, start + day_length, now};
    }
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int length = 0;
    const auto read = std::sscanf(date.c_str(), "%4d-%2u-%2u%n", &year, &month,
                                  &day, &length);
    const std::chrono::year_month_day found{std::chrono::year(year),
                                            std::chrono::month(month),
                                            std::chrono::day(day)};
    if (read != 3 || static_cast<std::size_t>(length) != date.size() ||
        !found.ok())
    {
        return make_error(error_kind::invalid_argument,
                          "'" + date + "' is not a date like 2026-12-04");
    }
    const auto days = std::chrono::sys_days(found).time_since_epoch();
    const auto start = day_length * days.count();
    return report_day{start, start + day_length, now};
}

} // namespace briardrum
