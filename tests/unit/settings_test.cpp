#include "config/config.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

auto balancer_document(std::string_view more) -> std::string
{
    return R"({
        // One of three entry VMs.
        "name": "balancer-trapani", "data_centre": "trapani",
        "packets": "10.0.0.1:7000", "data": "10.0.0.1:7001",
        "control": "10.0.0.1:7002", "http": "127.0.0.1:7003",
        "fabric": "10.0.0.9:6000")" +
           std::string(more) + "}";
}

auto error_message_of(std::string_view text) -> std::string
{
    const auto read = parse_balancer_settings(text, "b.json");
    REQUIRE_FALSE(read.ok());
    CHECK(error_kind_of(read.status()) == error_kind::invalid_argument);
    return std::string(read.status().message());
}

auto line_count(const std::string& text) -> std::ptrdiff_t
{
    return std::count(text.begin(), text.end(), '\n') + 1;
}

} // namespace

TEST_CASE("balancer settings are read, with comments and defaults")
{
    const auto text = balancer_document(R"(,
        "start_addresses": ["10.0.0.2:7002", "10.0.0.3:7002"],
        "store": {"endpoint": "10.0.0.8:2379", "root": "/briardrum"},
        "log": {"level": "debug"})");
    const auto read = parse_balancer_settings(text, "b.json");
    REQUIRE_MESSAGE(read.ok(), std::string(read.status().message()));
    CHECK(read->process.name == "balancer-trapani");
    CHECK(to_string(read->packets) == "10.0.0.1:7000");
    CHECK(to_string(read->fabric) == "10.0.0.9:6000");
    CHECK(read->process.start_addresses.size() == 2);
    REQUIRE(read->process.store.has_value());
    CHECK(read->process.store->root == "/briardrum");
    CHECK(read->process.log_level == event_level::debug);
    CHECK(read->process.stop_bound == seconds(10));
}

TEST_CASE("agent settings are read")
{
    const auto read = parse_agent_settings(R"({
        "name": "agent-1", "data_centre": "paceco", "service": "manifest",
        "data": "10.0.0.1:1", "control": "10.0.0.1:2", "http": "10.0.0.1:3",
        "server": "10.0.0.1:5683", "slots": 5, "start_addresses": [],
        "stop_bound_ms": 2500})",
                                           "a.json");
    REQUIRE_MESSAGE(read.ok(), std::string(read.status().message()));
    CHECK(read->service == "manifest");
    CHECK(read->slots == 5);
    CHECK(read->process.stop_bound == milliseconds(2500));
}

TEST_CASE("all problems of the settings are reported together")
{
    const auto text = error_message_of(R"({
        "name": "two words", "packets": "10.0.0.1", "data": 5,
        "control": "10.0.0.1:0", "http": "127.0.0.1:70000",
        "fabric": "10.0.0.9:6000", "colour": "red",
        "start_addresses": ["10.0.0.2:1", "10.0.0.2:1", 7],
        "store": {"endpoint": "10.0.0.8:2379", "path": 1},
        "log": {"level": "loud"}, "stop_bound_ms": 600001})");
    CAPTURE(text);
    const auto lines = {
        "b.json: name: found \"two words\"; allowed: 1 to 64 letters",
        "b.json: data_centre: found nothing; allowed:",
        "b.json: packets: found \"10.0.0.1\"; allowed: an address",
        "b.json: data: found 5; allowed: an address",
        "b.json: control: found \"10.0.0.1:0\"; allowed: an address",
        "b.json: http: found \"127.0.0.1:70000\"; allowed: an address",
        "b.json: colour: found an unknown field; allowed: control, data,",
        "b.json: start_addresses[1]: found \"10.0.0.2:1\" again",
        "b.json: start_addresses[2]: found 7; allowed: an address",
        "b.json: store.root: found nothing",
        "b.json: store.path: found an unknown field; allowed: endpoint, root",
        "b.json: log.level: found \"loud\"; allowed: one of \"debug\"",
        ("b.json: stop_bound_ms: found 600001; allowed: a whole number from 0 "
         "to 600000"),
    };
    for (const std::string line : lines)
    {
        CAPTURE(line);
        CHECK(text.find(line) != std::string::npos);
    }
    CHECK(line_count(text) == static_cast<std::ptrdiff_t>(lines.size()));
}

TEST_CASE("local addresses must be unique")
{
    const auto text = error_message_of(R"({
        "name": "b", "data_centre": "c", "fabric": "10.0.0.9:1",
        "packets": "10.0.0.1:1", "data": "10.0.0.1:1",
        "control": "10.0.0.1:2", "http": "10.0.0.1:2",
        "start_addresses": []})");
    CHECK(text == "b.json: data: found 10.0.0.1:1 again; allowed: an address "
                  "other than that of packets\n"
                  "b.json: http: found 10.0.0.1:2 again; allowed: an address "
                  "other than that of control");
}

TEST_CASE(
    "a document that is not a settings object is rejected with one problem")
{
    CHECK(line_count(error_message_of("")) == 1);
    CHECK(line_count(error_message_of("{")) == 1);
    CHECK(line_count(error_message_of("[1]")) == 1);
    CHECK(line_count(error_message_of("\xff\xfe")) == 1);
    CHECK(error_message_of(balancer_document(R"(, "name": "again")")) ==
          "b.json: name: found the field twice; allowed: each field only once");
}

TEST_CASE("negative, fractional and non-numeric values are rejected")
{
    for (const auto* value : {"-1", "1.5", "\"7\"", "null", "1e99", "true"})
    {
        CAPTURE(value);
        const auto text = error_message_of(
            balancer_document(R"(, "start_addresses": [], "stop_bound_ms": )" +
                              std::string(value)));
        CHECK(text.find("b.json: stop_bound_ms: found") == 0);
        CHECK(line_count(text) == 1);
    }
}

TEST_CASE("the error for an unreadable settings file has its path")
{
    const auto read = load_agent_settings("no/such/file.json");
    REQUIRE_FALSE(read.ok());
    CHECK(std::string(read.status().message()) ==
          "no/such/file.json: (file): found No such file or directory; "
          "allowed: a readable file");
    CHECK_FALSE(load_balancer_settings("/").ok());
}
