#include "io/http/http_client.hpp"
#include "io/http/http_reader.hpp"
#include "io/http/http_server.hpp"
#include "io/log/bounded_output.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <optional>
#include <spdlog/logger.h>
#include <unistd.h>

using namespace briardrum;

namespace
{

constexpr endpoint loopback{0x7f000001, 0};

auto read_all(std::string_view text, std::size_t piece)
    -> std::vector<http_reader::message>
{
    std::vector<http_reader::message> out;
    http_reader reader(http_reader::side::requests, 100,
                       [&](http_reader::message&& message)
                       {
                           out.push_back(std::move(message));
                       });
    for (std::size_t at = 0; at < text.size(); at += piece)
    {
        reader.feed(as_bytes(text.substr(at, piece)));
    }
    return out;
}

} // namespace

TEST_CASE("HTTP requests are read whole, however their bytes come")
{
    const std::string text = "POST /a?b=1 HTTP/1.1\r\nContent-Length: 3\r\n\r\n"
                             "xyzGET /c HTTP/1.1\r\n\r\n";
    for (const std::size_t piece :
         {std::size_t{1}, std::size_t{7}, text.size()})
    {
        const auto messages = read_all(text, piece);
        REQUIRE(messages.size() == 2);
        CHECK(messages[0].method == "POST");
        CHECK(messages[0].target == "/a?b=1");
        CHECK(messages[0].body == "xyz");
        CHECK(messages[1].target == "/c");
        CHECK(messages[1].keep_alive);
    }
}

TEST_CASE("headers of HTTP responses are read, however their bytes come")
{
    const std::string text = "HTTP/1.1 200 OK\r\nStore-Era: 12\r\n"
                             "Content-Length: 2\r\nEmpty:\r\n\r\n{}"
                             "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n";
    for (const std::size_t piece :
         {std::size_t{1}, std::size_t{7}, text.size()})
    {
        std::vector<http_reader::message> messages;
        http_reader reader(http_reader::side::responses, 100,
                           [&](http_reader::message&& message)
                           {
                               messages.push_back(std::move(message));
                           });
        for (std::size_t at = 0; at < text.size(); at += piece)
        {
            REQUIRE(reader.feed(
                as_bytes(std::string_view(text).substr(at, piece))));
        }
        REQUIRE(messages.size() == 2);
        REQUIRE(find_header(messages[0].headers, "store-era") != nullptr);
        CHECK(*find_header(messages[0].headers, "store-era") == "12");
        CHECK(*find_header(messages[0].headers, "Empty") == "");
        CHECK(find_header(messages[1].headers, "Store-Era") == nullptr);
        CHECK(messages[0].body == "{}");
    }
}

TEST_CASE("bytes that are no HTTP, and bodies over the bound, end the reading")
{
    const auto feed = [](const std::string& text)
    {
        http_reader reader(http_reader::side::requests, 10,
                           [](http_reader::message&&) {});
        return reader.feed(as_bytes(text));
    };
    CHECK_FALSE(feed("\x01\x02\x03 what\r\n\r\n"));
    CHECK_FALSE(feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n"
                     "01234567890"));
    CHECK(feed("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n0123456789"));
}

TEST_CASE("a call that nobody answers fails, and says that nothing was sent")
{
    asio::io_context context;
    // Port 1 of the loopback address has no listener.
    http_client client(context, {loopback.address, 1});
    absl::Status status;
    client.call({"GET", "/", ""}, seconds(5),
                [&](const absl::StatusOr<http_response>& response)
                {
                    status = response.status();
                });
    context.run();
    CHECK(error_kind_of(status) == error_kind::unavailable);
}

TEST_CASE("client and server keep a connection for several calls")
{
    asio::io_context context;
    std::vector<std::string> asked;
    http_server server(context,
                       [&](const http_request& request)
                       {
                           asked.push_back(request.target + request.body);
                           return http_response{http_ok, "text/plain", "yes"};
                       });
    asio::ip::tcp::acceptor probe(context,
                                  {asio::ip::address_v4(loopback.address), 0});
    const auto port = probe.local_endpoint().port();
    probe.close();
    REQUIRE(server.start({loopback.address, port}).ok());
    http_client client(context, {loopback.address, port});
    std::vector<std::string> answers;
    client.call({"GET", "/one", ""}, seconds(20),
                [&](const absl::StatusOr<http_response>& first)
                {
                    REQUIRE(first.ok());
                    answers.push_back(first->body);
                    client.call({"POST", "/two", "x"}, seconds(20),
                                [&](const absl::StatusOr<http_response>& second)
                                {
                                    REQUIRE(second.ok());
                                    answers.push_back(second->body);
                                    server.close();
                                    client.close();
                                });
                });
    context.run();
    CHECK(asked == std::vector<std::string>{"/one", "/twox"});
    CHECK(answers == std::vector<std::string>{"yes", "yes"});
}

namespace
{

// Answers every request with "yes". Connections that are open when
// silence_open_connections() is called get no answers from then on and are not
// closed.
class silenceable_server
{
public:
    explicit silenceable_server(asio::io_context& context)
        : acceptor_(context, {asio::ip::address_v4(loopback.address), 0})
    {
        accept();
    }

    auto address() const -> endpoint
    {
        return {loopback.address, acceptor_.local_endpoint().port()};
    }

    auto silence_open_connections() -> void
    {
        silent_ = connections_.size();
    }

    auto connections() const -> std::size_t
    {
        return connections_.size();
    }

    auto close() -> void
    {
        acceptor_.close();
        for (const auto& it : connections_)
        {
            it->close();
        }
    }

private:
    auto accept() -> void
    {
        acceptor_.async_accept(
            [this](const asio::error_code& ec, asio::ip::tcp::socket socket)
            {
                if (!ec)
                {
                    connections_.push_back(
                        std::make_unique<asio::ip::tcp::socket>(
                            std::move(socket)));
                    read(connections_.size() - 1);
                    accept();
                }
            });
    }

    auto read(std::size_t index) -> void
    {
        const auto buf = std::make_shared<std::array<char, 1000>>();
        connections_[index]->async_read_some(
            asio::buffer(*buf),
            [this, index, buf](const asio::error_code& ec, std::size_t)
            {
                if (ec || index < silent_)
                {
                    return;
                }
                const std::string_view answer =
                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes";
                asio::error_code ignored;
                asio::write(*connections_[index], asio::buffer(answer),
                            ignored);
                read(index);
            });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> connections_;
    std::size_t silent_ = 0;
};

} // namespace

// Guards against: after the connections to the store had gone silent, the call
// that followed a missed deadline used another silent connection, and a
// configuration came into force too late.
TEST_CASE("after a call that missed its deadline no kept connection is used")
{
    asio::io_context context;
    silenceable_server server(context);
    std::vector<std::string> events;
    http_client client(context, server.address(),
                       [&](const event& it)
                       {
                           events.push_back(it.line());
                       });
    const auto call = [&](millis timeout, const http_client::callback& done)
    {
        client.call({"GET", "/", ""}, timeout, done);
    };
    absl::StatusOr<http_response> last;
    const auto ask_again = [&](const absl::StatusOr<http_response>& silent)
    {
        CHECK_FALSE(silent.ok());
        call(seconds(2),
             [&](const absl::StatusOr<http_response>& response)
             {
                 last = response;
                 client.close();
                 server.close();
             });
    };
    int answered = 0;
    for (std::size_t n = 0; n < http_client::idle_connections_max; ++n)
    {
        call(seconds(20),
             [&](const absl::StatusOr<http_response>& response)
             {
                 CHECK(response.ok());
                 if (++answered ==
                     static_cast<int>(http_client::idle_connections_max))
                 {
                     server.silence_open_connections();
                     call(milliseconds(50), ask_again);
                 }
             });
    }
    context.run();
    REQUIRE(last.ok());
    CHECK(last->body == "yes");
    CHECK(server.connections() == http_client::idle_connections_max + 1);
    REQUIRE(events.size() == 1);
    CHECK(events[0].find("connection=kept") != std::string::npos);
}

TEST_CASE("a log whose reader stands still drops lines and never waits")
{
    int ends[2] = {};
    REQUIRE(::pipe(ends) == 0);
    const auto output = std::make_shared<bounded_output>(ends[1]);
    spdlog::logger logger("test", output);
    const std::string line(1000, 'x');
    for (int n = 0; n < 2000; ++n)
    {
        logger.info(line);
        output->flush();
    }
    CHECK(output->waiting_bytes() <= bounded_output::buffer_bytes_max);
    CHECK(output->take_lost() > 1000);
    CHECK(output->take_lost() == 0);
    ::close(ends[0]);
    ::close(ends[1]);
}

namespace
{

// Answers one request with a body of this many parts, one after each interval,
// and never sends the last of them if it stalls.
class slow_server
{
public:
    slow_server(asio::io_context& context, millis interval, int parts,
                bool stalls)
        : acceptor_(context, {asio::ip::address_v4(loopback.address), 0}),
          socket_(context), timer_(context), interval_(interval),
          parts_left_(stalls ? parts - 1 : parts),
          head_("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(parts) +
                "\r\n\r\n")
    {
        acceptor_.async_accept(socket_,
                               [this](const asio::error_code& ec)
                               {
                                   if (!ec)
                                   {
                                       read_request();
                                   }
                               });
    }

    auto address() const -> endpoint
    {
        return {loopback.address, acceptor_.local_endpoint().port()};
    }

    auto close() -> void
    {
        acceptor_.close();
        socket_.close();
        timer_.cancel();
    }

private:
    auto read_request() -> void
    {
        socket_.async_read_some(asio::buffer(buf_),
                                [this](const asio::error_code& ec, std::size_t)
                                {
                                    if (!ec)
                                    {
                                        send(head_);
                                        send_parts();
                                    }
                                });
    }

    auto send_parts() -> void
    {
        if (parts_left_-- == 0)
        {
            return;
        }
        timer_.expires_after(std::chrono::milliseconds(interval_.count));
        timer_.async_wait(
            [this](const asio::error_code& ec)
            {
                if (!ec)
                {
                    send("x");
                    send_parts();
                }
            });
    }

    auto send(std::string_view bytes) -> void
    {
        asio::error_code ignored;
        asio::write(socket_, asio::buffer(bytes), ignored);
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    millis interval_;
    int parts_left_;
    std::string head_;
    std::array<char, 1000> buf_{};
};

} // namespace

// Guards against (review/9): a large configuration takes longer on a slow link
// than a call may wait, each read is given up shortly before it is complete,
// and the balancer never adopts a version again.
TEST_CASE("a response that is arriving is waited for, as long as it goes on")
{
    constexpr auto timeout = milliseconds(60);
    http_response_limits limits;
    limits.stall_timeout = milliseconds(400);
    limits.duration_max = seconds(20);
    auto interval = milliseconds(30);
    auto stalls = false;
    auto arrives = false;
    SUBCASE("its parts go on arriving")
    {
        arrives = true;
    }
    SUBCASE("it stops")
    {
        stalls = true;
    }
    SUBCASE("it takes too long altogether")
    {
        limits.duration_max = milliseconds(100);
    }
    SUBCASE("each part takes too long")
    {
        limits.stall_timeout = milliseconds(1);
        interval = milliseconds(200);
    }
    asio::io_context context;
    constexpr int parts = 8;
    slow_server server(context, interval, parts, stalls);
    http_client client(context, server.address(), nullptr, limits);
    std::optional<absl::StatusOr<http_response>> result;
    client.call({"GET", "/", ""}, timeout,
                [&](const absl::StatusOr<http_response>& response)
                {
                    result = response;
                    client.close();
                    server.close();
                });
    context.run();
    REQUIRE(result.has_value());
    REQUIRE(result->ok() == arrives);
    if (arrives)
    {
        CHECK((*result)->body == std::string(parts, 'x'));
    }
}
