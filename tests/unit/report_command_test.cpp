#include "tests/unit/report_fixture.hpp"

#include "io/operator/report_command.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace briardrum;
using namespace briardrum::tests;

namespace
{

// An HTTP server on loopback that serves one report at /report.
class fake_daemon
{
public:
    explicit fake_daemon(const std::string& body)
    {
        server_.Get("/report",
                    [body](const httplib::Request&, httplib::Response& answer)
                    {
                        answer.set_content(body, "application/json");
                    });
        port_ = server_.bind_to_any_port("127.0.0.1");
        thread_ = std::thread(
            [this]
            {
                server_.listen_after_bind();
            });
    }

    ~fake_daemon()
    {
        server_.stop();
        thread_.join();
    }

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

private:
    httplib::Server server_;
    int port_ = 0;
    std::thread thread_;
};

struct command_result
{
    int code = 0;
    std::string out;
    std::string errors;
};

auto run_command(std::vector<std::string> arguments, millis now)
    -> command_result
{
    CLI::App app{"briardrum"};
    report_command command(app);
    arguments.insert(arguments.begin(), "report");
    std::reverse(arguments.begin(), arguments.end());
    app.parse(arguments);
    REQUIRE(command.parsed());
    std::stringstream out;
    std::stringstream errors;
    command_result result;
    result.code = command.run(now, out, errors);
    result.out = out.str();
    result.errors = errors.str();
    return result;
}

auto report_of(const std::string& name, int answers,
               incarnation_number incarnation = 1) -> std::string
{
    report_recorder recorder(at(1, 0),
                             agent_named(name, "manifest", incarnation));
    recorder.adopt(at(1, 0), configuration_of("ordinary", 1));
    for (int n = 0; n < answers; ++n)
    {
        recorder.record_outcome(
            at(1, 0), "manifest",
            {urgency::normal, error_kind::none, false, milliseconds(9)});
    }
    const std::vector<process_report> reports = {recorder.report(at(1, 1))};
    return write_reports(reports);
}

class temporary_folder
{
public:
    temporary_folder()
        : path_(std::filesystem::temp_directory_path() /
                ("briardrum-report-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directory(path_);
    }

    ~temporary_folder()
    {
        std::filesystem::remove_all(path_);
    }

    auto file(const std::string& name) const -> std::string
    {
        return (path_ / name).string();
    }

private:
    std::filesystem::path path_;
};

} // namespace

TEST_CASE("report command merges reports of daemons and lists unreachable ones")
{
    const fake_daemon a(report_of("a1", 10));
    const fake_daemon b(report_of("a2", 20));
    const auto result = run_command(
        {"--from", a.address(), "--from", b.address(), "--from", "127.0.0.1:1"},
        at(1, 1));
    CHECK(result.code == 0);
    CHECK(result.out.find("30, 100.000% good") != std::string::npos);
    CHECK(result.out.find("127.0.0.1:1") != std::string::npos);
    CHECK(result.errors.find("127.0.0.1:1") != std::string::npos);
}

TEST_CASE("kept reports survive a restart of the daemon")
{
    const temporary_folder folder;
    const auto kept = folder.file("day.json");
    {
        const fake_daemon a(report_of("a1", 10, 1));
        CHECK(run_command({"--from", a.address(), "--keep", kept}, at(1, 1))
                  .code == 0);
    }
    const fake_daemon a(report_of("a1", 5, 2));
    const auto result =
        run_command({"--from", a.address(), "--keep", kept}, at(1, 1));
    CHECK(result.out.find("15, 100.000% good") != std::string::npos);
    const auto page = folder.file("page.html");
    CHECK(run_command({"--file", kept, "--format", "html", "--out", page},
                      at(1, 1))
              .code == 0);
    std::ifstream in(page);
    std::string first;
    std::getline(in, first);
    CHECK(first == "<!DOCTYPE html>");
}

TEST_CASE("report command fails without sources, with a bad day or a bad file")
{
    CHECK(run_command({}, at(1, 1)).code == 69);
    CHECK(run_command({"--day", "2026-13-04"}, at(1, 1)).code == 65);
    CHECK(run_command({"--day", "yesterday"}, at(1, 1)).code == 65);
    const temporary_folder folder;
    const auto path = folder.file("bad.json");
    std::ofstream(path) << "no report";
    const auto result = run_command({"--keep", path}, at(1, 1));
    CHECK(result.code == 69);
    // A file that cannot be read must not be overwritten.
    std::ifstream in(path);
    std::string text;
    std::getline(in, text);
    CHECK(text == "no report");
}

TEST_CASE("days are parsed in UTC")
{
    const auto day = parse_day("2026-12-04", at(30, 0));
    REQUIRE(day.ok());
    CHECK(day->from == day_start);
    CHECK(day->to == at(24, 0));
    CHECK(parse_day("", at(30, 0))->from == at(24, 0));
}
