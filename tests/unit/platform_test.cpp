#include "io/http/http_server.hpp"
#include "platform/platform.hpp"
#include "platform/store_responses.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace briardrum;

namespace
{

constexpr auto settings_text = "node=side-1\n"
                               "zone=north\n"
                               "listenAddrs.datagramAddr=10.9.0.1:8101\n"
                               "listenAddrs.readyAddr=10.9.0.1:8102\n"
                               "listenAddrs.outbound=10.9.0.1:8103\n"
                               "listenAddrs.control=10.9.0.1:8104\n"
                               "internalPorts=7001,7009\n"
                               "seeds=10.9.0.2:8104,10.9.0.3:8104\n"
                               "heartbeatMs=900\n"
                               "bounds.flowMaxS=60\n"
                               "bounds.graceS=6\n"
                               "app=10.9.0.1:8105\n"
                               "service=svc1\n"
                               "platform.address=10.9.9.9:8106\n"
                               "somethingNew=1\n";

auto without_line(std::string text, const std::string& line_start)
    -> std::string
{
    const auto at = text.find(line_start);
    const auto end = text.find('\n', at);
    return text.erase(at, end - at + 1);
}

auto heartbeat_request(const std::string& body) -> http_request
{
    return {"POST", "/v1/instances/i-1/heartbeat", body};
}

constexpr auto heartbeat_body =
    R"({"service":"svc1","address":"10.9.0.1:8105","zone":"north",)"
    R"("version":"v2","slots":3,"state":"ready","warmupLeftMs":1500,)"
    R"("sequence":4,"born":1700000000000})";

auto with_replacement(const std::string& from, const std::string& to)
    -> std::string
{
    std::string out = heartbeat_body;
    return out.replace(out.find(from), from.size(), to);
}

auto make_packet(byte_buffer& bytes) -> flow_packet
{
    bytes.assign(platform::header_bytes + 3, 0);
    bytes[1] = 3;
    bytes[5] = 9;
    bytes[10] = 8;
    bytes[16] = 100;
    bytes[21] = 7;
    bytes[24] = 198;
    bytes[31] = 0x55;
    const auto out = platform::read_packet(bytes);
    REQUIRE(out.ok());
    return *out;
}

} // namespace

TEST_CASE("write_packet sets the label and keeps the sender's other bytes")
{
    byte_buffer bytes;
    const auto packet = make_packet(bytes);
    CHECK(packet.payload_bytes == 3);
    CHECK(packet.sequence == 9);
    CHECK(packet.acknowledges);
    CHECK(packet.label.kind == label_kind::none);

    packet_label label;
    label.kind = label_kind::offer;
    label.urgency = 2;
    label.hops = 7;
    label.best_position = 3;
    label.best_wait = 99;
    label.waited_ms = 321;
    label.deadline_ms = 1500;
    label.service = 0xdeadbeef;
    byte_buffer out;
    platform::write_packet(packet, label, out);
    const auto reparsed = platform::read_packet(out);
    REQUIRE(reparsed.ok());
    CHECK(reparsed->label.kind == label_kind::offer);
    CHECK(reparsed->label.urgency == 2);
    CHECK(reparsed->label.hops == 7);
    CHECK(reparsed->label.best_position == 3);
    CHECK(reparsed->label.best_wait == 99);
    // This packet does not open a flow: the two bytes hold the deadline.
    CHECK(reparsed->label.waited_ms == 0);
    CHECK(reparsed->label.deadline_ms == 1500);
    CHECK(reparsed->label.service == 0xdeadbeef);

    byte_buffer restored;
    platform::write_packet(*reparsed, {}, restored);
    CHECK(restored == bytes);
}

// Guards against: the deadline of a route is taken for the time that an opening
// packet has waited, so that new flows count as late.
TEST_CASE("the label of an opening packet carries the time that it has waited")
{
    byte_buffer bytes;
    make_packet(bytes);
    constexpr std::size_t flags_at = 10;
    constexpr std::uint8_t opening_flag = 1;
    bytes[flags_at] = opening_flag;
    const auto opening = platform::read_packet(bytes);
    REQUIRE(opening.ok());
    packet_label label;
    label.kind = label_kind::offer;
    label.waited_ms = 321;
    label.deadline_ms = 1500;
    byte_buffer out;
    platform::write_packet(*opening, label, out);
    const auto reparsed = platform::read_packet(out);
    REQUIRE(reparsed.ok());
    CHECK(reparsed->label.waited_ms == 321);
    CHECK(reparsed->label.deadline_ms == 0);
}

// Guards against judgements of servers in deployments that did not ask for it.
TEST_CASE("servers are judged only with the contract for health")
{
    const auto judges = [](const std::string& lines)
    {
        const auto out = platform::parse_settings(
            settings_text + lines, member_kind::agent, "settings");
        REQUIRE(out.ok());
        return out->judge_server;
    };
    CHECK_FALSE(judges(""));
    CHECK_FALSE(judges("contracts=base,healthy,flows\n"));
    CHECK(judges("contracts=base,health,flows\n"));
    CHECK(judges("contracts=health\n"));
}

TEST_CASE("write_packet clears the returned flag")
{
    byte_buffer bytes;
    make_packet(bytes);
    bytes[10] |= 4;
    const auto packet = platform::read_packet(bytes);
    REQUIRE(packet.ok());
    CHECK(packet->returned);
    byte_buffer out;
    platform::write_packet(*packet, {}, out);
    CHECK((out[10] & 4) == 0);
}

TEST_CASE("truncated packets and wrong payload lengths are malformed")
{
    byte_buffer bytes;
    make_packet(bytes);
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        const auto truncated = platform::read_packet(byte_view(bytes).first(n));
        CHECK(error_kind_of(truncated.status()) == error_kind::malformed);
    }
    bytes.push_back(0);
    CHECK_FALSE(platform::read_packet(bytes).ok());
    bytes.assign(platform::header_bytes + 1201, 0);
    bytes[0] = 1201 / 256;
    bytes[1] = 1201 % 256;
    CHECK_FALSE(platform::read_packet(bytes).ok());
}

TEST_CASE("an opening packet counts its retransmissions")
{
    byte_buffer bytes(platform::header_bytes, 0);
    bytes[10] = 1;
    bytes[9] = 2;
    const auto packet = platform::read_packet(bytes);
    REQUIRE(packet.ok());
    CHECK(packet->opens);
    CHECK(packet->retransmissions == 2);
}

TEST_CASE("a reset from route to caller lies within the caller's window")
{
    byte_buffer bytes;
    platform::write_reset({0xc6120001, 443}, {0x64400007, 40001}, 77, bytes);
    const auto packet = platform::read_packet(bytes);
    REQUIRE(packet.ok());
    CHECK(packet->resets);
    CHECK(packet->source == endpoint{0xc6120001, 443});
    CHECK(packet->destination == endpoint{0x64400007, 40001});
    CHECK(packet->sequence == 77);
    CHECK(packet->payload_bytes == 0);
}

TEST_CASE("a hint carries the address of the owner's VM")
{
    packet_label label;
    label.kind = label_kind::hint;
    label.owner_address = 0x0a010203;
    byte_buffer bytes;
    platform::write_notice({1, 2}, {3, 4}, label, bytes);
    const auto packet = platform::read_packet(bytes);
    REQUIRE(packet.ok());
    CHECK(packet->label.kind == label_kind::hint);
    CHECK(packet->label.owner_address == 0x0a010203);
    CHECK(packet->source == endpoint{1, 2});
}

TEST_CASE("settings are parsed and unknown names ignored")
{
    const auto it = platform::parse_settings(settings_text, member_kind::agent,
                                             "settings.conf");
    REQUIRE(it.ok());
    CHECK(it->name == "side-1");
    CHECK(it->packets == endpoint{0x0a090001, 8101});
    CHECK(it->members == endpoint{0x0a090001, 7001});
    CHECK(it->caller_port == 8101);
    CHECK(it->heartbeat_interval == milliseconds(900));
    CHECK(it->stop_bound == seconds(5));
    REQUIRE(it->start_addresses.size() == 2);
    CHECK(it->start_addresses[0] == endpoint{0x0a090002, 7001});
}

TEST_CASE("a settings error names the file, line and field")
{
    const auto missing = platform::parse_settings(
        without_line(settings_text, "service="), member_kind::agent, "s.conf");
    CHECK(missing.status().message() == "s.conf: service is missing");
    std::string text = settings_text;
    text.replace(text.find("10.9.0.1:8102"), 13, "ten");
    const auto bad_address =
        platform::parse_settings(text, member_kind::agent, "s.conf");
    CHECK(bad_address.status().message() ==
          "s.conf:4: listenAddrs.readyAddr is not a valid address:port: ten");
    text = settings_text;
    text.replace(text.find("=900"), 4, "=soon");
    const auto bad_number =
        platform::parse_settings(text, member_kind::agent, "s.conf");
    CHECK(bad_number.status().message() ==
          "s.conf:9: heartbeatMs is not a non-negative integer: soon");
    const auto balancer =
        platform::parse_settings(without_line(settings_text, "service="),
                                 member_kind::balancer, "s.conf");
    CHECK(balancer.ok());
}

// Guards against: a limit that the operators misspelt is read as another one,
// or keeps the program from starting without saying where.
TEST_CASE("the settings of the slow start are read, and errors name the value")
{
    const auto parse = [](const std::string& lines)
    {
        return platform::parse_settings(settings_text + lines,
                                        member_kind::agent, "s.conf");
    };
    const auto without = parse("bounds.warmupSlack=5\n");
    REQUIRE(without.ok());
    CHECK_FALSE(without->warm_up_overshoot.has_value());
    CHECK_FALSE(without->warm_up_slack.has_value());
    const auto both =
        parse("bounds.warmupOvershoot=1.5\nbounds.warmupSlack=2.5\n");
    REQUIRE(both.ok());
    CHECK(both->warm_up_overshoot == 1.5);
    CHECK(both->warm_up_slack == 2.5);
    const auto whole =
        parse("bounds.warmupOvershoot=2\nbounds.warmupSlack=5\n");
    REQUIRE(whole.ok());
    CHECK(whole->warm_up_overshoot == 2);
    CHECK(whole->warm_up_slack == 5);
    for (const std::string value :
         {"much", "-1.5", "1,5", "1.5x", " 1", "nan", "inf", "1e999"})
    {
        CAPTURE(value);
        const auto overshoot = parse("bounds.warmupOvershoot=" + value + "\n");
        CHECK(overshoot.status().message() ==
              "s.conf:16: bounds.warmupOvershoot is not a non-negative "
              "number: " +
                  value);
        const auto slack = parse("bounds.warmupOvershoot=1.5\n"
                                 "bounds.warmupSlack=" +
                                 value + "\n");
        CHECK(slack.status().message() ==
              "s.conf:17: bounds.warmupSlack is not a non-negative number: " +
                  value);
    }
}

// Guards against: a bound that the operators give as a fraction keeps the
// program from starting.
TEST_CASE("bounds in the settings may be fractions")
{
    const auto parse = [](const std::string& bound, const std::string& value)
    {
        const auto name = "bounds." + bound;
        return platform::parse_settings(
            without_line(settings_text, name + "=") + name + "=" + value + "\n",
            member_kind::agent, "s.conf");
    };
    const auto flow = parse("flowMaxS", "62.5");
    REQUIRE(flow.ok());
    CHECK(flow->flow_lifetime == milliseconds(62'500));
    const auto exact = parse("flowMaxS", "1.001");
    REQUIRE(exact.ok());
    CHECK(exact->flow_lifetime == milliseconds(1001));
    const auto grace = parse("graceS", "2.4");
    REQUIRE(grace.ok());
    CHECK(grace->stop_bound == milliseconds(1800));
    const auto text = std::string(settings_text) + "bounds.configApplyMs=";
    const auto apply = platform::parse_settings(
        text + "2500.75\n", member_kind::balancer, "s.conf");
    REQUIRE(apply.ok());
    CHECK(apply->configuration_deadline == milliseconds(2500));
    for (const std::string bound : {"flowMaxS", "graceS"})
    {
        CAPTURE(bound);
        CHECK(parse(bound, "soon").status().message() ==
              "s.conf:15: bounds." + bound +
                  " is not a non-negative number: soon");
        CHECK(parse(bound, "-0.5").status().message() ==
              "s.conf:15: bounds." + bound +
                  " is not a non-negative number: -0.5");
        CHECK(parse(bound, "1e300").status().message() ==
              "s.conf:15: bounds." + bound + " is too large: 1e300");
    }
}

// Guards against: a watch whose connection has gone silent was given up only
// after the time in which a configuration must take effect.
TEST_CASE("a silent watch is noticed early enough to read the configuration")
{
    using platform::key_value_store;
    for (const auto deadline :
         {seconds(1), seconds(2), seconds(3), seconds(5), seconds(6)})
    {
        CAPTURE(deadline.count);
        const auto noticed = platform::watch_wait_for(deadline) +
                             key_value_store::watch_response_margin;
        CHECK(noticed + key_value_store::reread_reserve <= deadline);
    }
    CHECK(platform::watch_wait_for(millis{}) ==
          key_value_store::watch_wait_min);
    CHECK(platform::watch_wait_for(minutes(5)) ==
          key_value_store::watch_wait_max);
    auto text = std::string(settings_text) + "bounds.configApplyMs=5000\n";
    const auto it =
        platform::parse_settings(text, member_kind::balancer, "s.conf");
    REQUIRE(it.ok());
    CHECK(it->configuration_deadline == seconds(5));
}

// Guards against: a deployment without evacuation gets a placement policy, or
// one whose watch goes silent learns an evacuation too late to spread it.
TEST_CASE("the evacuation deadline is optional and shortens store polls")
{
    const auto parse = [](const std::string& more)
    {
        return platform::parse_settings(settings_text + more,
                                        member_kind::balancer, "s.conf");
    };
    const auto plain = parse("");
    REQUIRE(plain.ok());
    CHECK_FALSE(plain->evacuation_deadline.has_value());
    CHECK_FALSE(has_placement_policy(*plain));
    CHECK(store_delivery_deadline(*plain) == plain->configuration_deadline);
    // Without a policy, agents would never learn the rates of cold servers.
    const auto limited = parse("bounds.warmupOvershoot=1.5\n");
    REQUIRE(limited.ok());
    CHECK(limited->limits_cold_servers);
    CHECK(has_placement_policy(*limited));
    CHECK(store_delivery_deadline(*limited) == limited->configuration_deadline);
    const auto it = parse("bounds.evacuateMs=5000\n"
                          "bounds.configApplyMs=9000\n"
                          "bounds.warmupOvershoot=1.5\n");
    REQUIRE(it.ok());
    CHECK(it->evacuation_deadline == seconds(5));
    CHECK(it->limits_cold_servers);
    CHECK(store_delivery_deadline(*it) == seconds(3));
    const auto bad = parse("bounds.evacuateMs=soon\n");
    CHECK(bad.status().message() ==
          "s.conf:16: bounds.evacuateMs is not a non-negative number: soon");
}

TEST_CASE("limits on cold servers are parsed from the configuration")
{
    const auto it = platform::read_configuration(
        R"({"version":7,"routes":[],"services":[)"
        R"({"name":"a","warmupPerS":2.5},{"name":"b","warmupPerS":0},)"
        R"({"name":"c","warmupPerS":-1},{"name":"d"},"e",)"
        R"({"name":"f","warmupPerS":"many"},{"name":"g","warmupPerS":1e12},)"
        R"({"name":"h","warmupPerS":0.0001},{"name":"a","warmupPerS":40},)"
        R"({"warmupPerS":3}]})");
    REQUIRE(it.ok());
    std::map<std::uint32_t, std::uint32_t> limits;
    for (const auto& limit : it->warm_up)
    {
        limits[limit.service] = limit.requests_per_second_milli;
    }
    CHECK(limits.size() == it->warm_up.size());
    CHECK(limits == std::map<std::uint32_t, std::uint32_t>{
                        {service_tag_of("a"), 2500},
                        {service_tag_of("g"), 4294967295U},
                        {service_tag_of("h"), 1}});
    CHECK(std::is_sorted(it->warm_up.begin(), it->warm_up.end(),
                         [](const auto& a, const auto& b)
                         {
                             return a.service < b.service;
                         }));
}

TEST_CASE("the operator configuration is parsed into a route table")
{
    const auto it = platform::read_configuration(
        R"({"version":7,"routes":[{"name":"a","host":"198.18.0.1",)"
        R"("prefix":"/8443/","priority":2,"service":"x"},)"
        R"({"name":"b","host":"198.18.0.2","prefix":"/80/","backends":)"
        R"([{"service":"x","weight":9},{"service":"y","weight":1}]}],)"
        R"("services":[],"limits":{"idleTimeoutMs":15000}})");
    REQUIRE(it.ok());
    CHECK(it->version == 7);
    CHECK(it->idle_timeout == seconds(15));
    const auto* first = it->find({0xc6120001, 8443});
    REQUIRE(first != nullptr);
    CHECK(first->targets == std::vector<route_target>{{"x", 1}});
    CHECK(first->urgency == 2);
    const auto* second = it->find({0xc6120002, 80});
    REQUIRE(second != nullptr);
    CHECK(second->targets.size() == 2);
    CHECK(it->find({0xc6120002, 81}) == nullptr);
}

TEST_CASE("an invalid operator configuration is rejected with the field's name")
{
    const auto error_message = [](const std::string& text)
    {
        return std::string(
            platform::read_configuration(text).status().message());
    };
    CHECK(error_message("no json") == "the configuration is not a JSON object");
    CHECK(error_message("{}") == "version is not an integer greater than 0");
    CHECK(error_message(R"({"version":1})") == "routes is not an array");
    CHECK(error_message(R"({"version":1,"routes":[{"name":"a","host":"h",)"
                        R"("prefix":"/1/","service":"x"}]})") ==
          "routes.a: host and prefix are not a valid address");
    CHECK(error_message(
              R"({"version":1,"routes":[{"name":"a","host":"1.2.3.4",)"
              R"("prefix":"/1/"}]})") == "routes.a: service is missing");
}

TEST_CASE("heartbeat and leave requests take the server id from the path")
{
    const auto it =
        platform::parse_server_request(heartbeat_request(heartbeat_body));
    REQUIRE(it.ok());
    const auto& heartbeat = std::get<server_heartbeat>(*it);
    CHECK(heartbeat.server_id == "i-1");
    CHECK(heartbeat.service_name == "svc1");
    CHECK(heartbeat.address == endpoint{0x0a090001, 8105});
    CHECK(heartbeat.slots == 3);
    CHECK(heartbeat.warm_up_left == milliseconds(1500));
    CHECK(heartbeat.sequence == 4);
    CHECK(heartbeat.started_at == milliseconds(1700000000000));
    const auto leave =
        platform::parse_server_request({"POST", "/v1/instances/i-1/leave", ""});
    REQUIRE(leave.ok());
    CHECK(std::get<server_leave>(*leave).server_id == "i-1");
}

TEST_CASE("invalid heartbeats are malformed, other methods and paths not found")
{
    const auto error_of = [](const std::string& body)
    {
        return error_kind_of(
            platform::parse_server_request(heartbeat_request(body)).status());
    };
    CHECK(error_of("\xff\xfe") == error_kind::malformed);
    CHECK(error_of("[]") == error_kind::malformed);
    CHECK(error_of(with_replacement(R"("slots":3)", R"("slots":"3")")) ==
          error_kind::malformed);
    CHECK(error_of(with_replacement(R"("slots":3)", R"("slots":0)")) ==
          error_kind::malformed);
    CHECK(error_of(with_replacement("ready", "resting")) ==
          error_kind::malformed);
    CHECK(error_of(with_replacement(R"("sequence":4)", R"("sequence":-4)")) ==
          error_kind::malformed);
    CHECK(error_of(with_replacement(R"(,"born":1700000000000)", "")) ==
          error_kind::malformed);
    CHECK(error_of(with_replacement("10.9.0.1:8105", "here")) ==
          error_kind::malformed);
    const auto wrong_method = platform::parse_server_request(
        {"GET", "/v1/instances/i-1/heartbeat", ""});
    CHECK(error_kind_of(wrong_method.status()) == error_kind::not_found);
    const auto nested = platform::parse_server_request(
        {"POST", "/v1/instances/a/b/heartbeat", heartbeat_body});
    CHECK(error_kind_of(nested.status()) == error_kind::not_found);
}

// Guards against: one odd entry of another writer ends the process that reads
// it, or keeps it from reading the others.
TEST_CASE(
    "odd heartbeats are malformed: deep nesting, numbers too large, ports "
    "out of range")
{
    const auto error_of = [](const std::string& body)
    {
        return error_kind_of(
            platform::parse_server_request(heartbeat_request(body)).status());
    };
    constexpr std::size_t depth = http_server::body_bytes_max;
    CHECK(error_of(std::string(depth, '[')) == error_kind::malformed);
    CHECK(error_of(std::string(depth / 2, '[') + std::string(depth / 2, ']')) ==
          error_kind::malformed);
    std::string objects;
    for (std::size_t n = 0; n < depth / 8; ++n)
    {
        objects += "{\"a\":";
    }
    objects += "1" + std::string(depth / 8, '}');
    CHECK(error_of(objects) == error_kind::malformed);
    for (const auto* field :
         {"\"service\":\"svc1\"", "\"slots\":3", "\"born\":1700000000000"})
    {
        const auto name =
            std::string(field).substr(0, std::string(field).find(':') + 1);
        CHECK(error_of(with_replacement(field, name + objects)) ==
              error_kind::malformed);
    }
    // A field that is not known does no harm.
    CHECK(platform::parse_server_request(
              heartbeat_request(with_replacement(
                  "\"slots\":3", "\"slots\":3,\"extra\":" + objects)))
              .ok());

    for (const auto* number :
         {"1e999", "-1e999", "1e400", "18446744073709551616",
          "18446744073709551615", "9223372036854775808", "9007199254740992",
          "99999999999999999999999999999999999999", "-1", "4.5", "null"})
    {
        const std::string text = number;
        CAPTURE(text);
        CHECK(error_of(with_replacement("\"slots\":3", "\"slots\":" + text)) ==
              error_kind::malformed);
        CHECK(error_of(
                  with_replacement("\"sequence\":4", "\"sequence\":" + text)) ==
              error_kind::malformed);
        CHECK(error_of(with_replacement("\"born\":1700000000000",
                                        "\"born\":" + text)) ==
              error_kind::malformed);
        CHECK(error_of(with_replacement("\"warmupLeftMs\":1500",
                                        "\"warmupLeftMs\":" + text)) ==
              error_kind::malformed);
    }
    for (const auto* address :
         {"10.9.0.1:65536", "10.9.0.1:99999999999", "10.9.0.1:-1",
          "10.9.0.1:", "10.9.0.256:8105", "10.9.0.1", ":8105", ""})
    {
        CAPTURE(std::string(address));
        CHECK(error_of(with_replacement("10.9.0.1:8105", address)) ==
              error_kind::malformed);
    }
}

TEST_CASE("an odd entry in an answer of the store leaves the others readable")
{
    const auto response = [](const std::string& body)
    {
        return http_response{200, "application/json", body, {}};
    };
    const std::string good = R"({"key":"b","value":"eA==","revision":7})";
    constexpr std::size_t depth = 100000;
    const auto nested = std::string(depth, '[') + std::string(depth, ']');
    for (const std::string& odd :
         {std::string(R"({"key":"a","value":"%%%","revision":3})"),
          std::string(R"({"key":"a","value":5,"revision":3})"),
          std::string(R"({"key":"a","revision":1e30})"), std::string("7"),
          std::string("null"), R"({"key":"a","value":)" + nested + "}", nested})
    {
        std::string list = "[";
        list.append(odd).append(",").append(good).append("]");
        std::string body = R"({"items":)";
        body.append(list).append(R"(,"events":)").append(list);
        body.append(R"(,"currentRev":9})");
        const auto range = platform::parse_range_response(response(body));
        REQUIRE(range.ok());
        REQUIRE(!range->values.empty());
        CHECK(range->values.back().key == "b");
        CHECK(range->values.back().value == "x");
        CHECK(range->revision == 9);
        const auto watch = platform::parse_watch_response(response(body));
        REQUIRE(watch.ok());
        CHECK(watch->events.back().value == "x");
    }
}

// Guards against: a store that came back from an older copy is not told from
// one that goes on.
TEST_CASE("a store restored from an older copy shows in the era of each answer")
{
    const auto response = [](int status, const std::string& body)
    {
        return http_response{
            status, "application/json", body, {{"store-era", "7"}}};
    };
    const auto key = platform::parse_key_response(
        response(200, R"({"key":"a","value":"","revision":3,"currentRev":9})"));
    REQUIRE(key.ok());
    CHECK(key->era == 7);
    CHECK(key->revision == 9);
    const auto missing =
        platform::parse_key_response(response(404, R"({"currentRev":9})"));
    REQUIRE(missing.ok());
    CHECK(missing->era == 7);
    CHECK(missing->revision == 9);
    const auto range = platform::parse_range_response(
        response(200, R"({"items":[],"currentRev":9})"));
    REQUIRE(range.ok());
    CHECK(range->era == 7);
    const auto batch = platform::parse_watch_response(
        response(200, R"({"events":[],"currentRev":9})"));
    REQUIRE(batch.ok());
    CHECK(batch->era == 7);
    CHECK_FALSE(batch->compacted);
    const auto gone = platform::parse_watch_response(response(410, ""));
    REQUIRE(gone.ok());
    CHECK(gone->era == 7);
    CHECK(gone->compacted);
    const auto conflict =
        platform::parse_commit_response(response(412, R"({"items":[]})"));
    REQUIRE(conflict.ok());
    CHECK(conflict->era == 7);
    CHECK_FALSE(conflict->succeeded);
    const auto lease = platform::parse_lease_response(
        response(200, R"({"lease":4,"ttlMs":1000})"));
    REQUIRE(lease.ok());
    CHECK(lease->era == 7);
}

TEST_CASE(
    "an answer without an era has era 0, one that is no number is refused")
{
    http_response response{200, "", R"({"items":[],"currentRev":9})", {}};
    CHECK(platform::parse_range_response(response)->era == 0);
    response.headers = {{"Store-Era", "next"}};
    CHECK(error_kind_of(platform::parse_range_response(response).status()) ==
          error_kind::malformed);
}
