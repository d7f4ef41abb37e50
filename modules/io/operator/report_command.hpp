#ifndef BRIARDRUM_IO_OPERATOR_REPORT_COMMAND_HPP
#define BRIARDRUM_IO_OPERATOR_REPORT_COMMAND_HPP

#include "report/report.hpp"

#include <CLI/CLI.hpp>
#include <iosfwd>
#include <string>
#include <vector>

namespace briardrum
{

// "briardrum report": asks daemons and files for what they counted, and
// writes the page of a day.
//
// Create it with the command line before parsing; when parsed() run() it.
class report_command
{
public:
    explicit report_command(CLI::App& app);
    report_command(const report_command&) = delete;
    auto operator=(const report_command&) -> report_command& = delete;

    auto parsed() const -> bool;

    // Writes the page to its file or to out, complaints to errors, and gives
    // the exit code: 0 also when the day did not go well or some daemons
    // could not be asked, as the page says so.
    auto run(millis now, std::ostream& out, std::ostream& errors) -> int;

private:
    auto collect(std::ostream& errors) -> void;
    auto read_file(const std::string& path) -> absl::Status;
    auto keep() const -> absl::Status;
    auto page(const report_day& day) const -> std::string;
    auto write_page(const std::string& text, std::ostream& out) const
        -> absl::Status;

    CLI::App* command_;
    std::vector<std::string> daemons_;
    std::vector<std::string> files_;
    std::string day_;
    std::string out_;
    std::string keep_;
    std::string format_ = "text";
    std::vector<process_report> reports_;
    std::vector<std::string> unreachable_;
};

// The day that a date names, in UTC; today's for an empty one.
// error_kind::invalid_argument when it is no date.
auto parse_day(const std::string& date, millis now)
    -> absl::StatusOr<report_day>;

} // namespace briardrum

#endif
