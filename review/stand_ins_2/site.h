// Stand-ins of the second review: the platform's store, backend servers, the
// router with its clients, and the processes of the deploy file. One header,
// used by one small program a case. Everything runs on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>
#include <utility>
#include <vector>

using nlohmann::json;

// ---------------------------------------------------------------- time, record

inline auto now_ms() -> std::int64_t
{
    timespec ts{};
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return std::int64_t{ts.tv_sec} * 1000 + ts.tv_nsec / 1000000;
}

inline auto wall_ms() -> std::int64_t
{
    timespec ts{};
    clock_gettime(CLOCK_REALTIME, &ts);
    return std::int64_t{ts.tv_sec} * 1000 + ts.tv_nsec / 1000000;
}

inline std::int64_t started_ms = now_ms();
inline FILE* record_file = nullptr;

// Writes one line, with the time since the start, to the record.
inline void note(const char* format, ...)
{
    char text[1000];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    const double at = double(now_ms() - started_ms) / 1000;
    std::fprintf(record_file, "%8.3f %s\n", at, text);
    std::fflush(record_file);
}

[[noreturn]] inline void cannot_run(const char* why)
{
    note("cannot run: %s (%s)", why, std::strerror(errno));
    std::exit(2);
}

// ------------------------------------------------------------------- addresses

struct address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    auto operator<=>(const address&) const = default;
};

inline auto ip_text(std::uint32_t ip) -> std::string
{
    in_addr in{htonl(ip)};
    return inet_ntoa(in);
}

inline auto text(const address& it) -> std::string
{
    return ip_text(it.ip) + ":" + std::to_string(it.port);
}

inline auto to_sockaddr(const address& it) -> sockaddr_in
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(it.ip);
    out.sin_port = htons(it.port);
    return out;
}

// The addresses of a deployment: 127.NET.CLASS.N, the same ports everywhere.
struct network
{
    std::uint32_t net = 0;
    std::uint16_t base = 0;
    auto ip(int kind, int n) const -> std::uint32_t
    {
        return (127U << 24U) | (net << 16U) | (std::uint32_t(kind) << 8U) |
               std::uint32_t(n);
    }
    auto front(int n) const { return ip(1, n); }
    auto side(int n) const { return ip(2, n); }
    auto client(int n) const { return ip(3, n); }
    auto store() const -> address { return {ip(4, 1), port(6)}; }
    auto port(int n) const -> std::uint16_t { return std::uint16_t(base + n); }
};

constexpr int port_data = 0, port_ready = 1, port_control = 2, port_out = 3,
              port_app = 4, port_internal = 7;

inline auto open_socket(int type, const address& at) -> int
{
    const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM)
    {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    const auto to = to_sockaddr(at);
    if (fd < 0 ||
        bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
    {
        return -1;
    }
    if (type == SOCK_STREAM && listen(fd, 100) != 0)
    {
        return -1;
    }
    return fd;
}

// Finds a network of loopback addresses and ports where nothing listens.
inline auto find_network() -> network
{
    for (int n = 0; n < 100; ++n)
    {
        network out;
        out.net = 20 + std::uint32_t(getpid() + n * 7) % 200;
        out.base = std::uint16_t(21000 + (getpid() + n) % 500 * 20);
        const int fd = open_socket(SOCK_STREAM, out.store());
        if (fd >= 0)
        {
            close(fd);
            return out;
        }
    }
    cannot_run("no free ports");
}

// ------------------------------------------------------------------ event loop

class event_loop
{
public:
    std::map<int, std::function<void()>> readers;

    void after(std::int64_t ms, std::function<void()> task)
    {
        timers_.emplace(now_ms() + ms, std::move(task));
    }

    void run_until(const std::function<bool()>& done, std::int64_t limit_ms)
    {
        const auto end = now_ms() + limit_ms;
        while (!done() && now_ms() < end)
        {
            step(end);
        }
    }

    void run_for(std::int64_t ms)
    {
        run_until([] { return false; }, ms);
    }

private:
    void step(std::int64_t end)
    {
        while (!timers_.empty() && timers_.begin()->first <= now_ms())
        {
            auto task = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            task();
        }
        auto next = end;
        if (!timers_.empty())
        {
            next = std::min(next, timers_.begin()->first);
        }
        std::vector<pollfd> set;
        for (const auto& [fd, task] : readers)
        {
            set.push_back({fd, POLLIN, 0});
        }
        const auto wait = std::max<std::int64_t>(0, next - now_ms());
        poll(set.data(), set.size(), int(std::min<std::int64_t>(wait, 50)));
        for (const auto& it : set)
        {
            const auto found = readers.find(it.fd);
            if (it.revents != 0 && found != readers.end())
            {
                const auto task = found->second;
                task();
            }
        }
    }

    std::multimap<std::int64_t, std::function<void()>> timers_;
};

inline event_loop loop;

// ------------------------------------------------------------------------ HTTP

struct http_message
{
    std::string first;
    std::string body;
};

// Takes one complete message with a Content-Length out of the buffer.
inline auto take_message(std::string& buf) -> std::optional<http_message>
{
    const auto head = buf.find("\r\n\r\n");
    if (head == std::string::npos)
    {
        return std::nullopt;
    }
    std::size_t length = 0;
    const auto at = buf.find("Content-Length:");
    if (at != std::string::npos && at < head)
    {
        length = std::strtoul(buf.c_str() + at + 15, nullptr, 10);
    }
    if (buf.size() < head + 4 + length)
    {
        return std::nullopt;
    }
    http_message out{buf.substr(0, buf.find("\r\n")),
                     buf.substr(head + 4, length)};
    buf.erase(0, head + 4 + length);
    return out;
}

// Serves HTTP/1.1 with kept connections. The handler answers at once or later,
// by calling reply(status, body).
class http_listener
{
public:
    using reply = std::function<void(int, const std::string&)>;
    using handler = std::function<void(const http_message&, reply)>;

    // Rate of the link to the callers; 0: not limited.
    std::size_t bytes_per_s = 0;

    auto start(const address& at, handler handle) -> bool
    {
        handle_ = std::move(handle);
        fd_ = open_socket(SOCK_STREAM, at);
        if (fd_ < 0)
        {
            return false;
        }
        loop.readers[fd_] = [this] { accept_one(); };
        return true;
    }

    void stop()
    {
        loop.readers.erase(fd_);
        close(fd_);
        fd_ = -1;
    }

private:
    struct connection
    {
        int fd = -1;
        std::string in;
        std::string out;
        // Bytes of out that the link has taken since it began to send.
        std::size_t taken = 0;
        std::int64_t sending_since = 0;
        ~connection() { close(fd); }
    };

    // Sends what the link and the peer take now, and the rest later.
    void pump(const std::shared_ptr<connection>& it)
    {
        while (!it->out.empty())
        {
            auto n = it->out.size();
            if (bytes_per_s != 0)
            {
                const auto ms = now_ms() - it->sending_since;
                const auto allowed =
                    std::size_t(ms) * bytes_per_s / 1000 + 1500;
                n = allowed > it->taken ? std::min(n, allowed - it->taken) : 0;
            }
            const auto sent =
                n == 0 ? 0 : send(it->fd, it->out.data(), n, MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN)
            {
                it->out.clear();
                return;
            }
            if (sent <= 0)
            {
                loop.after(2, [this, it] { pump(it); });
                return;
            }
            it->taken += std::size_t(sent);
            it->out.erase(0, std::size_t(sent));
        }
    }

    void accept_one()
    {
        const int fd = accept4(fd_, nullptr, nullptr,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
        {
            return;
        }
        auto it = std::make_shared<connection>();
        it->fd = fd;
        loop.readers[fd] = [this, it] { read(it); };
    }

    void read(const std::shared_ptr<connection>& it)
    {
        char bytes[65536];
        const auto n = recv(it->fd, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            loop.readers.erase(it->fd);
            return;
        }
        it->in.append(bytes, std::size_t(n));
        while (auto message = take_message(it->in))
        {
            handle_(*message,
                    [this, it](int status, const std::string& body)
                    {
                        const auto out =
                            "HTTP/1.1 " + std::to_string(status) +
                            " X\r\nContent-Type: application/json\r\n"
                            "Store-Era: 1\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body;
                        const auto idle = it->out.empty();
                        it->out += out;
                        if (idle)
                        {
                            it->taken = 0;
                            it->sending_since = now_ms();
                            pump(it);
                        }
                    });
        }
    }

    int fd_ = -1;
    handler handle_;
};

// One call on a new connection. done(status, body); status 0: no answer within
// the time.
inline void http_call(const address& to, const std::string& method,
                      const std::string& path, const std::string& body,
                      std::int64_t timeout_ms,
                      std::function<void(int, std::string)> done)
{
    struct state
    {
        int fd = -1;
        std::string in;
        bool over = false;
    };
    auto it = std::make_shared<state>();
    const auto finish = [it, done](int status, std::string answer)
    {
        if (!it->over)
        {
            it->over = true;
            loop.readers.erase(it->fd);
            close(it->fd);
            done(status, std::move(answer));
        }
    };
    // Loopback connections complete or fail at once.
    it->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto target = to_sockaddr(to);
    if (connect(it->fd, reinterpret_cast<const sockaddr*>(&target),
                sizeof target) != 0)
    {
        finish(0, "");
        return;
    }
    const auto out = method + " " + path + " HTTP/1.1\r\nHost: " + text(to) +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body;
    (void)!send(it->fd, out.data(), out.size(), MSG_NOSIGNAL);
    loop.readers[it->fd] = [it, finish]
    {
        char bytes[8192];
        const auto n = recv(it->fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (n > 0)
        {
            it->in.append(bytes, std::size_t(n));
        }
        if (auto message = take_message(it->in))
        {
            finish(std::atoi(message->first.c_str() + 9), message->body);
        }
        else if (n <= 0)
        {
            finish(0, "");
        }
    };
    loop.after(timeout_ms, [finish] { finish(0, ""); });
}

// ----------------------------------------------------------- the platform's store

inline auto base64(const std::string& in, bool decode) -> std::string
{
    static const std::string set =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    if (decode)
    {
        for (const char c : in)
        {
            const auto at = set.find(c);
            if (at == std::string::npos)
            {
                break;
            }
            bits = (bits << 6U) | std::uint32_t(at);
            count += 6;
            if (count >= 8)
            {
                count -= 8;
                out += char((bits >> unsigned(count)) & 0xffU);
            }
        }
        return out;
    }
    for (const char c : in)
    {
        bits = (bits << 8U) | std::uint8_t(c);
        count += 8;
        while (count >= 6)
        {
            count -= 6;
            out += set[(bits >> unsigned(count)) & 63U];
        }
    }
    if (count > 0)
    {
        out += set[(bits << unsigned(6 - count)) & 63U];
    }
    while (out.size() % 4 != 0)
    {
        out += '=';
    }
    return out;
}

class key_value_store
{
public:
    void start(const address& at)
    {
        if (!http_.start(at, [this](const http_message& in, auto reply)
                         { serve(in, std::move(reply)); }))
        {
            cannot_run("the store's address");
        }
    }

    // Serves at another address too, over a link of this rate.
    void serve_slowly(const address& at, std::size_t bytes_per_s)
    {
        slow_.bytes_per_s = bytes_per_s;
        if (!slow_.start(at, [this](const http_message& in, auto reply)
                         { serve(in, std::move(reply)); }))
        {
            cannot_run("the store's second address");
        }
    }

    // Writes as the operator does.
    void put(const std::string& key, const std::string& value)
    {
        const auto at = ++revision_;
        auto& it = items_[key];
        it.created = it.created == 0 ? at : it.created;
        it.value = value;
        it.revision = at;
        log_.push_back({at, key, it});
        wake();
    }

private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct change
    {
        std::int64_t revision;
        std::string key;
        // As it was written; nothing if it was removed.
        std::optional<item> value;
    };
    struct watcher
    {
        std::string prefix;
        std::int64_t after;
        http_listener::reply reply;
    };

    auto show(const std::string& key, const item& it) const -> json
    {
        return {{"key", key},
                {"value", base64(it.value, false)},
                {"revision", it.revision},
                {"createRev", it.created},
                {"lease", it.lease}};
    }

    auto events(const std::string& prefix, std::int64_t after) const -> json
    {
        json out = json::array();
        for (const auto& it : log_)
        {
            if (it.revision <= after || it.key.rfind(prefix, 0) != 0)
            {
                continue;
            }
            if (it.value.has_value())
            {
                out.push_back(show(it.key, *it.value));
            }
            else
            {
                out.push_back({{"key", it.key},
                               {"revision", it.revision},
                               {"removed", true}});
            }
        }
        return out;
    }

    void wake()
    {
        for (auto it = watchers_.begin(); it != watchers_.end();)
        {
            auto found = events(it->second.prefix, it->second.after);
            if (found.empty())
            {
                ++it;
                continue;
            }
            it->second.reply(
                200,
                json{{"events", found}, {"currentRev", revision_}}.dump());
            it = watchers_.erase(it);
        }
    }

    static auto argument(const std::string& path, const std::string& name)
        -> std::string
    {
        const auto at = path.find(name + "=");
        if (at == std::string::npos)
        {
            return "";
        }
        auto raw = path.substr(at + name.size() + 1);
        raw = raw.substr(0, raw.find('&'));
        std::string out;
        for (std::size_t n = 0; n < raw.size(); ++n)
        {
            if (raw[n] == '%' && n + 2 < raw.size())
            {
                out += char(std::strtol(raw.substr(n + 1, 2).c_str(), nullptr,
                                        16));
                n += 2;
            }
            else
            {
                out += raw[n];
            }
        }
        return out;
    }

    void serve(const http_message& in, http_listener::reply reply)
    {
        const auto space = in.first.find(' ');
        const auto method = in.first.substr(0, space);
        auto path = in.first.substr(space + 1);
        path = path.substr(0, path.find(' '));
        const auto is = [&](const char* start)
        { return path.rfind(start, 0) == 0; };
        if (method == "GET" && is("/v1/kv-key"))
        {
            const auto key = argument(path, "key");
            const auto found = items_.find(key);
            json out = found == items_.end() ? json::object()
                                             : show(key, found->second);
            out["currentRev"] = revision_;
            reply(found == items_.end() ? 404 : 200, out.dump());
        }
        else if (method == "GET" && is("/v1/kv-range"))
        {
            json out = {{"items", json::array()},
                        {"hasMore", false},
                        {"currentRev", revision_}};
            const auto prefix = argument(path, "prefix");
            for (const auto& [key, it] : items_)
            {
                if (key.rfind(prefix, 0) == 0)
                {
                    out["items"].push_back(show(key, it));
                }
            }
            reply(200, out.dump());
        }
        else if (method == "GET" && is("/v1/kv-watch"))
        {
            const auto id = ++next_watcher_;
            watchers_[id] = {argument(path, "prefix"),
                             std::atoll(argument(path, "after").c_str()),
                             reply};
            const auto wait = std::atoll(argument(path, "waitMs").c_str());
            loop.after(wait,
                       [this, id]
                       {
                           const auto it = watchers_.find(id);
                           if (it != watchers_.end())
                           {
                               it->second.reply(
                                   200, json{{"events", json::array()},
                                             {"currentRev", revision_}}
                                            .dump());
                               watchers_.erase(it);
                           }
                       });
            wake();
        }
        else if (method == "POST" && is("/v1/kv-txn"))
        {
            commit(json::parse(in.body), reply);
        }
        else if (method == "POST" && is("/v1/kv-lease"))
        {
            // Leases outlast the case.
            const auto ttl = json::parse(in.body)["ttlMs"];
            reply(200, json{{"lease", ++next_lease_}, {"ttlMs", ttl}}.dump());
        }
        else if (method == "POST" && is("/v1/kv-keep/"))
        {
            reply(200, json{{"ttlMs", 600000}}.dump());
        }
        else
        {
            reply(404, "{}");
        }
    }

    void commit(const json& in, const http_listener::reply& reply)
    {
        for (const auto& it : in["expect"])
        {
            const auto found = items_.find(it["key"]);
            const auto held =
                found == items_.end() ? 0 : found->second.revision;
            if (held != it["revision"].get<std::int64_t>())
            {
                reply(412, json{{"items", json::array()}}.dump());
                return;
            }
        }
        const auto at = ++revision_;
        for (const auto& it : in["put"])
        {
            auto& row = items_[it["key"]];
            row.created = row.created == 0 ? at : row.created;
            row.value = base64(it["value"], true);
            row.revision = at;
            log_.push_back({at, it["key"], row});
        }
        for (const auto& it : in["remove"])
        {
            items_.erase(it.get<std::string>());
            log_.push_back({at, it.get<std::string>(), std::nullopt});
        }
        reply(200, json{{"revision", at}}.dump());
        wake();
    }

    http_listener http_;
    http_listener slow_;
    std::map<std::string, item> items_;
    std::vector<change> log_;
    std::map<int, watcher> watchers_;
    int next_watcher_ = 0;
    std::int64_t next_lease_ = 0;
    std::int64_t revision_ = 10;
};

// ---------------------------------------------------------------------- packets

constexpr std::uint8_t flag_syn = 1, flag_rst = 2, flag_bounced = 4,
                       flag_ack = 8, flag_fin = 64;

struct packet
{
    address source;
    address destination;
    std::uint8_t flags = 0;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::string data;
    std::uint32_t sum = 0;
    auto has(std::uint8_t flag) const -> bool { return (flags & flag) != 0; }
};

inline void put(std::string& out, std::size_t at, std::uint32_t value, int n)
{
    for (int k = 0; k < n; ++k)
    {
        out[at + std::size_t(k)] = char(value >> unsigned(8 * (n - 1 - k)));
    }
}

inline auto get(const std::string& in, std::size_t at, int n) -> std::uint32_t
{
    std::uint32_t out = 0;
    for (int k = 0; k < n; ++k)
    {
        out = (out << 8U) | std::uint8_t(in[at + std::size_t(k)]);
    }
    return out;
}

// A keyed sum over all fields but echo, pad and BOUNCED.
inline auto sum_of(std::string bytes) -> std::uint32_t
{
    bytes[10] = char(bytes[10] & ~flag_bounced);
    std::fill_n(bytes.begin() + 11, 5, 0);
    std::fill_n(bytes.begin() + 28, 8, 0);
    std::uint32_t out = 0x51ed2701;
    for (const char c : bytes)
    {
        out = (out ^ std::uint8_t(c)) * 16777619U;
    }
    return out == 0 ? 1 : out;
}

inline auto write_packet(const packet& in) -> std::string
{
    std::string out(36, '\0');
    put(out, 0, std::uint32_t(in.data.size()), 2);
    put(out, 2, in.seq, 4);
    put(out, 6, in.ack, 4);
    put(out, 10, in.flags, 1);
    put(out, 16, in.source.ip, 4);
    put(out, 20, in.source.port, 2);
    put(out, 22, in.destination.port, 2);
    put(out, 24, in.destination.ip, 4);
    out += in.data;
    put(out, 28, sum_of(out), 4);
    return out;
}

// Empty for a packet whose sum is wrong; a reset of the system's own has 0.
inline auto read_packet(const std::string& in) -> std::optional<packet>
{
    if (in.size() < 36 || in.size() != 36 + get(in, 0, 2))
    {
        return std::nullopt;
    }
    packet out;
    out.seq = get(in, 2, 4);
    out.ack = get(in, 6, 4);
    out.flags = std::uint8_t(in[10]);
    out.source = {get(in, 16, 4), std::uint16_t(get(in, 20, 2))};
    out.destination = {get(in, 24, 4), std::uint16_t(get(in, 22, 2))};
    out.sum = get(in, 28, 4);
    out.data = in.substr(36);
    const auto own_reset =
        out.has(flag_rst) && out.data.empty() && out.sum == 0;
    if (!own_reset && out.sum != sum_of(in))
    {
        return std::nullopt;
    }
    return out;
}

inline auto flags_text(const packet& it) -> std::string
{
    std::string out;
    out += it.has(flag_syn) ? "S" : "";
    out += it.has(flag_ack) ? "A" : "";
    out += it.has(flag_fin) ? "F" : "";
    out += it.has(flag_rst) ? "R" : "";
    out += it.has(flag_bounced) ? "B" : "";
    return out;
}

inline void send_udp(int fd, const address& to, const std::string& bytes)
{
    const auto target = to_sockaddr(to);
    (void)!sendto(fd, bytes.data(), bytes.size(), 0,
                  reinterpret_cast<const sockaddr*>(&target), sizeof target);
}

// Takes one datagram, or nothing.
inline auto receive_udp(int fd) -> std::optional<std::string>
{
    char bytes[4096];
    const auto n = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (n < 0)
    {
        return std::nullopt;
    }
    return std::string(bytes, std::size_t(n));
}

// --------------------------------------------------------------- one end of a flow

constexpr std::size_t data_max = 1200;
constexpr std::size_t in_flight_max = 16;

// The bytes that one end sends: at most 16 packets in flight, missing packets
// again after 200 ms, twice as long each time up to 1.6 s.
class sender
{
public:
    std::function<void(std::uint32_t seq, const std::string& data)> send;
    std::function<void()> on_given_up;
    int tries_max = 8;

    void begin(std::uint32_t seq) { base_ = seq; }
    auto next_seq() const { return base_ + std::uint32_t(sent_); }
    auto pending() const { return queue_.size(); }

    void write(const std::string& bytes)
    {
        queue_ += bytes;
        pump();
    }

    void on_ack(std::uint32_t ack)
    {
        const auto n = std::int32_t(ack - base_);
        if (n <= 0 || std::size_t(n) > sent_)
        {
            return;
        }
        queue_.erase(0, std::size_t(n));
        base_ = ack;
        sent_ -= std::size_t(n);
        tries_ = 0;
        wait_ = 200;
        due_ = now_ms() + wait_;
        pump();
    }

    void tick()
    {
        if (sent_ == 0 || now_ms() < due_ || given_up_)
        {
            return;
        }
        if (tries_ == tries_max)
        {
            given_up_ = true;
            if (on_given_up)
            {
                on_given_up();
            }
            return;
        }
        ++tries_;
        wait_ = std::min<std::int64_t>(wait_ * 2, 1600);
        due_ = now_ms() + wait_;
        send(base_, queue_.substr(0, std::min({sent_, data_max})));
    }

private:
    void pump()
    {
        while (sent_ < queue_.size() && sent_ < in_flight_max * data_max)
        {
            const auto n = std::min(data_max, queue_.size() - sent_);
            if (sent_ == 0)
            {
                wait_ = 200;
                due_ = now_ms() + wait_;
            }
            send(base_ + std::uint32_t(sent_), queue_.substr(sent_, n));
            sent_ += n;
        }
    }

    std::uint32_t base_ = 0;
    std::string queue_;
    std::size_t sent_ = 0;
    int tries_ = 0;
    std::int64_t wait_ = 200;
    std::int64_t due_ = 0;
    bool given_up_ = false;
};

// ------------------------------------------------------------------ backend server

struct server_flow
{
    std::uint32_t first = 0;
    std::uint32_t expected = 0;
    bool open = false;
    bool ended = false;
    int unacknowledged = 0;
    std::string received;
    sender out;
};

using flow_key = std::pair<address, address>;

class server
{
public:
    std::string id;
    std::string service;
    std::uint32_t ip = 0;
    int slots = 4;
    int beat_ms = 770;
    bool reports = true;
    std::int64_t born = wall_ms();
    // Called when a request has arrived whole: writes the answer.
    std::function<void(server&, const flow_key&, const std::string&)> run;
    // Called for each packet from the agent, before it is handled.
    std::function<void(const server&, const packet&)> seen;
    std::set<flow_key> resets_sent;

    void start(const network& net)
    {
        net_ = net;
        udp_ = open_socket(SOCK_DGRAM, {ip, net.port(port_app)});
        const auto health_ok =
            health_.start({ip, net.port(port_app)},
                          [](const http_message&, auto reply)
                          { reply(200, ""); });
        if (udp_ < 0 || !health_ok)
        {
            cannot_run("a server's address");
        }
        loop.readers[udp_] = [this]
        {
            while (auto bytes = receive_udp(udp_))
            {
                on_datagram(*bytes);
            }
        };
        note("server %s of %s starts at %s", id.c_str(), service.c_str(),
             ip_text(ip).c_str());
        beat();
        tick();
    }

    void send(const flow_key& key, std::uint8_t flags, std::uint32_t seq,
              std::uint32_t ack, const std::string& data)
    {
        packet out;
        out.source = key.second;
        out.destination = key.first;
        out.flags = flags;
        out.seq = seq;
        out.ack = ack;
        out.data = data;
        send_udp(udp_, {ip, net_.port(port_out)}, write_packet(out));
    }

    auto flow(const flow_key& key) -> server_flow* 
    {
        const auto it = flows_.find(key);
        return it == flows_.end() ? nullptr : &it->second;
    }

    auto open_flows() const -> std::size_t
    {
        std::size_t out = 0;
        for (const auto& [key, it] : flows_)
        {
            out += it.open && !it.ended ? 1 : 0;
        }
        return out;
    }

    void heartbeat(const std::string& name, const json& body,
                   std::function<void(int)> done)
    {
        http_call({ip, net_.port(port_control)}, "POST",
                  "/v1/instances/" + name + "/heartbeat", body.dump(), 1000,
                  [done](int status, const std::string&) { done(status); });
    }

    auto heartbeat_body() -> json
    {
        return {{"service", service},
                {"address", text(address{ip, net_.port(port_app)})},
                {"zone", "zone-a"},
                {"version", "v1"},
                {"slots", slots},
                {"state", "ready"},
                {"warmupLeftMs", 0},
                {"sequence", ++sequence_},
                {"born", born}};
    }

private:
    void beat()
    {
        heartbeat(id, heartbeat_body(),
                  [this](int status)
                  {
                      if (status != last_status_)
                      {
                          note("server %s: heartbeat answered with %d",
                               id.c_str(), status);
                      }
                      last_status_ = status;
                  });
        loop.after(beat_ms, [this] { beat(); });
    }

    void tick()
    {
        for (auto& [key, it] : flows_)
        {
            it.out.tick();
        }
        loop.after(10, [this] { tick(); });
    }

    void on_datagram(const std::string& bytes)
    {
        const auto in = read_packet(bytes);
        if (!in.has_value())
        {
            note("server %s: a packet that its sender did not write so",
                 id.c_str());
            return;
        }
        if (seen)
        {
            seen(*this, *in);
        }
        const flow_key key{in->source, in->destination};
        if (in->has(flag_syn))
        {
            accept(key, *in);
            return;
        }
        const auto found = flows_.find(key);
        const auto elsewhere =
            found != flows_.end() && !found->second.open &&
            in->ack != found->second.first + 1;
        if (found == flows_.end() || elsewhere)
        {
            auto back = bytes;
            back[10] = char(back[10] | flag_bounced);
            std::fill_n(back.begin() + 11, 5, 0);
            send_udp(udp_, {ip, net_.port(port_out)}, back);
            return;
        }
        on_packet(key, found->second, *in);
    }

    void accept(const flow_key& key, const packet& in)
    {
        auto& it = flows_[key];
        if (it.first == 0)
        {
            it.first = (ip * 2654435761U) + next_first_;
            next_first_ += 1000003;
            it.expected = in.seq + 1;
            it.out.begin(it.first + 1);
            it.out.send = [this, key](std::uint32_t seq,
                                      const std::string& data)
            { send(key, flag_ack, seq, flows_[key].expected, data); };
            it.out.on_given_up = [this, key]
            {
                note("server %s gives up on the flow of %s after %d "
                     "retransmissions",
                     id.c_str(), text(key.first).c_str(),
                     flows_[key].out.tries_max);
                flows_[key].ended = true;
            };
        }
        send(key, flag_syn | flag_ack, it.first, in.seq + 1, "");
    }

    void on_packet(const flow_key& key, server_flow& it, const packet& in)
    {
        if (it.ended)
        {
            if (in.has(flag_fin))
            {
                send(key, flag_ack, it.out.next_seq(), in.seq + 1, "");
            }
            else if (!in.data.empty())
            {
                resets_sent.insert(key);
                send(key, flag_rst, it.out.next_seq(), it.expected, "");
            }
            return;
        }
        it.open = true;
        it.out.on_ack(in.ack);
        if (in.has(flag_rst) || in.has(flag_fin))
        {
            it.ended = true;
            send(key, flag_ack | flag_fin, it.out.next_seq(), in.seq + 1, "");
            return;
        }
        if (in.data.empty())
        {
            return;
        }
        if (in.seq != it.expected)
        {
            send(key, flag_ack, it.out.next_seq(), it.expected, "");
            return;
        }
        it.expected += std::uint32_t(in.data.size());
        it.received += in.data;
        if (++it.unacknowledged >= 2)
        {
            it.unacknowledged = 0;
            send(key, flag_ack, it.out.next_seq(), it.expected, "");
        }
        const auto end = it.received.find("\r\n\r\n");
        if (end != std::string::npos)
        {
            const auto request = it.received.substr(0, end);
            it.received.erase(0, end + 4);
            run(*this, key, request);
        }
    }

    network net_;
    int udp_ = -1;
    http_listener health_;
    std::map<flow_key, server_flow> flows_;
    std::uint32_t next_first_ = 77;
    std::uint64_t sequence_ = 0;
    int last_status_ = 200;
};

// ----------------------------------------------------------------- router, clients

// Sends each packet by a hash of the flow over the balancers in rotation, as
// the platform does with ecmpHash = mod.
class router
{
public:
    void add(std::uint32_t front) { fronts_.push_back({front, 2, false}); }

    void start(const network& net)
    {
        net_ = net;
        check();
    }

    auto ready_count() const -> int
    {
        int out = 0;
        for (const auto& it : fronts_)
        {
            out += it.misses < 2 ? 1 : 0;
        }
        return out;
    }

    auto is_ready(std::uint32_t front) const -> bool
    {
        for (const auto& it : fronts_)
        {
            if (it.ip == front)
            {
                return it.misses == 0;
            }
        }
        return false;
    }

    // Set: every packet goes to this balancer, as the platform's few flows that
    // are sent directly to each daemon that is ready.
    std::optional<std::uint32_t> direct;

    void forward(int fd, const packet& in)
    {
        if (direct.has_value())
        {
            send_udp(fd, {*direct, net_.port(port_data)}, write_packet(in));
            return;
        }
        std::vector<std::uint32_t> rotation;
        for (const auto& it : fronts_)
        {
            if (it.misses < 2)
            {
                rotation.push_back(it.ip);
            }
        }
        // Fewer than half in rotation: all of the zone.
        if (rotation.size() * 2 < fronts_.size())
        {
            rotation.clear();
            for (const auto& it : fronts_)
            {
                rotation.push_back(it.ip);
            }
        }
        auto hash = (in.source.ip * 31 + in.source.port) * 2654435761U;
        hash ^= (in.destination.ip * 17 + in.destination.port) * 40503U;
        const auto to = rotation[(hash >> 8U) % rotation.size()];
        send_udp(fd, {to, net_.port(port_data)}, write_packet(in));
    }

private:
    struct front
    {
        std::uint32_t ip;
        int misses;
        bool calling;
    };

    void check()
    {
        for (std::size_t n = 0; n < fronts_.size(); ++n)
        {
            if (fronts_[n].calling)
            {
                continue;
            }
            fronts_[n].calling = true;
            http_call({fronts_[n].ip, net_.port(port_ready)}, "GET",
                      "/v1/readiness", "", 400,
                      [this, n](int status, const std::string&)
                      {
                          auto& it = fronts_[n];
                          it.calling = false;
                          const auto before = it.misses < 2;
                          it.misses = status == 200 ? 0 : it.misses + 1;
                          if (before != (it.misses < 2))
                          {
                              note("router: %s is %s rotation",
                                   ip_text(it.ip).c_str(),
                                   before ? "out of" : "in");
                          }
                      });
        }
        loop.after(500, [this] { check(); });
    }

    network net_;
    std::vector<front> fronts_;
};

// A client's end of one flow.
class client_flow
{
public:
    address own;
    address route;
    bool open = false;
    bool ended = false;
    bool reset = false;
    bool reset_by_system = false;
    std::int64_t reset_at = 0;
    std::string received;
    std::function<void(client_flow&)> on_data;

    client_flow(int fd, router& via) : fd_(fd), via_(via) {}

    void begin()
    {
        seq_ = 1000 + own.port;
        send(flag_syn, seq_, 0, "");
        for (const int ms : {200, 600})
        {
            loop.after(ms,
                       [this]
                       {
                           if (!open && !ended)
                           {
                               send(flag_syn, seq_, ++copies_, "");
                           }
                       });
        }
        loop.after(1400,
                   [this]
                   {
                       if (!open && !ended)
                       {
                           ended = true;
                       }
                   });
        out_.tries_max = 1000;
        out_.begin(seq_ + 1);
        out_.send = [this](std::uint32_t seq, const std::string& data)
        { send(flag_ack, seq, expected_, data); };
        tick();
    }

    void request(const std::string& text)
    {
        if (!open)
        {
            early_ += text + "\r\n\r\n";
            return;
        }
        out_.write(text + "\r\n\r\n");
    }

    void finish()
    {
        if (open && !ended)
        {
            send(flag_ack | flag_fin, out_.next_seq(), expected_, "");
            ended = true;
        }
    }

    void on_packet(const packet& in)
    {
        if (ended)
        {
            return;
        }
        if (in.has(flag_rst))
        {
            ended = true;
            reset = true;
            reset_by_system = in.sum == 0;
            reset_at = now_ms();
            return;
        }
        if (in.has(flag_syn))
        {
            if (!open)
            {
                open = true;
                expected_ = in.seq + 1;
            }
            send(flag_ack, out_.next_seq(), expected_, "");
            if (!early_.empty())
            {
                out_.write(std::exchange(early_, ""));
            }
            return;
        }
        out_.on_ack(in.ack);
        if (in.data.empty())
        {
            return;
        }
        if (in.seq != expected_)
        {
            // Repeated or out of order: tells the server what is expected.
            send(flag_ack, out_.next_seq(), expected_, "");
            return;
        }
        expected_ += std::uint32_t(in.data.size());
        received += in.data;
        if (++unacknowledged_ >= 2)
        {
            acknowledge();
        }
        else
        {
            loop.after(40, [this] { if (unacknowledged_ > 0) acknowledge(); });
        }
        if (on_data)
        {
            on_data(*this);
        }
    }

private:
    void acknowledge()
    {
        unacknowledged_ = 0;
        if (!ended)
        {
            send(flag_ack, out_.next_seq(), expected_, "");
        }
    }

    void tick()
    {
        if (!ended)
        {
            out_.tick();
            loop.after(10, [this] { tick(); });
        }
    }

    void send(std::uint8_t flags, std::uint32_t seq, std::uint32_t ack,
              const std::string& data)
    {
        packet out;
        out.source = own;
        out.destination = route;
        out.flags = flags;
        out.seq = seq;
        out.ack = ack;
        out.data = data;
        via_.forward(fd_, out);
    }

    int fd_;
    router& via_;
    std::uint32_t seq_ = 0;
    std::uint32_t expected_ = 0;
    std::uint32_t copies_ = 0;
    int unacknowledged_ = 0;
    std::string early_;
    sender out_;
};

// All clients share one address; their ports tell them apart.
class clients
{
public:
    explicit clients(router& via) : via_(via) {}

    void start(const network& net)
    {
        ip_ = net.client(1);
        fd_ = open_socket(SOCK_DGRAM, {ip_, net.port(port_data)});
        if (fd_ < 0)
        {
            cannot_run("the clients' address");
        }
        loop.readers[fd_] = [this]
        {
            while (auto bytes = receive_udp(fd_))
            {
                const auto in = read_packet(*bytes);
                if (!in.has_value())
                {
                    note("client: a packet that its sender did not write so");
                    continue;
                }
                const auto it = flows_.find(in->destination.port);
                if (it != flows_.end() && it->second->route == in->source)
                {
                    it->second->on_packet(*in);
                }
            }
        };
    }

    auto add(const address& route) -> client_flow&
    {
        const auto port = next_port_++;
        auto it = std::make_unique<client_flow>(fd_, via_);
        it->own = {ip_, port};
        it->route = route;
        return *(flows_[port] = std::move(it));
    }

private:
    router& via_;
    std::uint32_t ip_ = 0;
    int fd_ = -1;
    std::uint16_t next_port_ = 40001;
    std::map<std::uint16_t, std::unique_ptr<client_flow>> flows_;
};

// ------------------------------------------------------- the processes under test

// One process of the deploy file, with a settings file of its own.
class process
{
public:
    std::string name;
    std::string command;
    std::string settings_path;
    std::string log_path;
    pid_t pid = 0;

    void start()
    {
        pid = fork();
        if (pid == 0)
        {
            setenv("BRIARDRUM_CONFIG", settings_path.c_str(), 1);
            const int log = open(log_path.c_str(),
                                 O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            execl(command.c_str(), command.c_str(), nullptr);
            _exit(127);
        }
    }

    auto running() -> bool
    {
        if (pid != 0 && waitpid(pid, nullptr, WNOHANG) == pid)
        {
            pid = 0;
        }
        return pid != 0;
    }

    void signal(int number)
    {
        if (running())
        {
            kill(pid, number);
        }
    }

    void end()
    {
        signal(SIGCONT);
        signal(SIGKILL);
        if (pid != 0)
        {
            waitpid(pid, nullptr, 0);
            pid = 0;
        }
    }
};

struct route_spec
{
    address at;
    std::string service;
    std::string type = "idempotent";
    int timeout_ms = 2000;
};

// A small deployment.
class deployment
{
public:
    network net = find_network();
    key_value_store store;
    router routers;
    clients callers{routers};
    std::vector<std::unique_ptr<server>> servers;
    std::map<std::string, std::unique_ptr<process>> processes;
    std::string work;
    std::string balancer_command;
    std::string agent_command;
    std::vector<std::string> service_names;
    int flow_max_s = 60;
    int grace_s = 6;
    int config_apply_ms = 3000;
    int stable_window_ms = 4000;
    // The store's address in the settings of processes that are added now.
    std::optional<address> other_store;
    int link_mbps = 1000;

    deployment(int argc, char** argv)
    {
        if (argc != 5)
        {
            std::fprintf(stderr, "usage: CASE RECORD WORK BALANCER AGENT\n");
            std::exit(2);
        }
        record_file = std::fopen(argv[1], "w");
        if (record_file == nullptr)
        {
            std::exit(2);
        }
        work = argv[2];
        balancer_command = argv[3];
        agent_command = argv[4];
        std::signal(SIGPIPE, SIG_IGN);
        store.start(net.store());
    }

    ~deployment()
    {
        for (auto& [name, it] : processes)
        {
            it->end();
        }
    }

    auto route_at(int n) const -> address { return {net.ip(9, n), 443}; }

    // Returns the length of what the operator writes.
    auto configure(int version, const std::vector<route_spec>& routes)
        -> std::size_t
    {
        json out = {{"version", version},
                    {"routes", json::array()},
                    {"services", json::array()},
                    {"limits", {{"maxHeaderBytes", 16384},
                                {"maxBodyBytes", 262144},
                                {"headerTimeoutMs", 3000},
                                {"idleTimeoutMs", 15000}}}};
        for (std::size_t n = 0; n < routes.size(); ++n)
        {
            const auto& it = routes[n];
            out["routes"].push_back(
                {{"name", "r-" + std::to_string(n + 1)},
                 {"host", ip_text(it.at.ip)},
                 {"prefix", "/" + std::to_string(it.at.port) + "/"},
                 {"type", it.type},
                 {"timeoutMs", it.timeout_ms},
                 {"targetLatencyMs", 200},
                 {"priority", 2},
                 {"service", it.service},
                 {"maxAttempts", 2}});
        }
        for (const auto& it : service_names)
        {
            out["services"].push_back({{"name", it},
                                       {"healthPath", "/health"},
                                       {"maxConns", 2000},
                                       {"protocol", "h1"},
                                       {"tls", false}});
        }
        const auto value = out.dump();
        store.put("op/config", value);
        note("operator: configuration %d is acknowledged, %zu bytes", version,
             value.size());
        return value.size();
    }

    auto add_balancer(int n) -> process&
    {
        routers.add(net.front(n));
        return add("balancer-" + std::to_string(n), balancer_command,
                   net.front(n), "frontend", "");
    }

    auto add_agent(int n, const std::string& service) -> process&
    {
        return add("agent-" + std::to_string(n), agent_command, net.side(n),
                   "side", service);
    }

    auto add_server(int n, const std::string& service) -> server&
    {
        auto it = std::make_unique<server>();
        it->id = "i-" + std::to_string(n);
        it->service = service;
        it->ip = net.side(n);
        servers.push_back(std::move(it));
        return *servers.back();
    }

    auto is_ready(int balancer) const -> bool
    {
        return routers.is_ready(net.front(balancer));
    }

    // Starts the router's checks and waits until all balancers are ready.
    void wait_until_ready(int balancers)
    {
        routers.start(net);
        callers.start(net);
        loop.run_until([&] { return routers.ready_count() == balancers; },
                       20000);
        if (routers.ready_count() != balancers)
        {
            cannot_run("the balancers did not become ready");
        }
        loop.run_for(2000);
    }

private:
    auto add(const std::string& name, const std::string& command,
             std::uint32_t ip, const std::string& machine_class,
             const std::string& service) -> process&
    {
        auto it = std::make_unique<process>();
        it->name = name;
        it->command = command;
        it->settings_path = work + "/" + name + ".conf";
        it->log_path = work + "/" + name + ".log";
        const auto at = [&](int port)
        { return text(address{ip, net.port(port)}); };
        FILE* out = std::fopen(it->settings_path.c_str(), "w");
        std::string lines =
            "node=" + name + "\nmachineClass=" + machine_class +
            "\nserves=" + machine_class + "\nip=" + ip_text(ip) +
            "\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\n"
            "listenAddrs.datagramAddr=" + at(port_data) +
            "\nlistenAddrs.readyAddr=" + at(port_ready) +
            "\nlistenAddrs.control=" + at(port_control) +
            "\ninternalPorts=" + std::to_string(net.port(port_internal)) +
            "," + std::to_string(net.port(port_internal + 8)) +
            "\nseeds=" + text(address{net.front(1), net.port(port_control)}) +
            "\nbootstrap=true\ninFaultBudget=false\nlimits.cpuShare=0.25\n"
            "limits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
            "limits.linkMbps=" + std::to_string(link_mbps) +
            ".0\nlimits.diskMb=0\ndiscovery=local\n"
            "entryType=announce\nheartbeatMs=770\n"
            "contracts=base,drain,config,cost,recover,flows,platform\n"
            "faultTolerance.machines=1\nfaultTolerance.zones=0\n"
            "faultTolerance.regions=0\nbounds.seedLagS=3\n"
            "bounds.addrReuseS=2\nbounds.stableWindowMs=" +
            std::to_string(stable_window_ms) +
            "\n"
            "bounds.ackMs=5000\nbounds.catchUpS=4\nbounds.drainMs=3000\n"
            "bounds.graceS=" + std::to_string(grace_s) +
            "\nbounds.lossSlackMs=200\nbounds.configApplyMs=" +
            std::to_string(config_apply_ms) +
            "\n"
            "bounds.rollbackSlackMs=250\nbounds.maxStretchMs=12000\n"
            "bounds.recoveryS=12\nbounds.reorderWindowMs=2000\n"
            "bounds.flowMaxS=" + std::to_string(flow_max_s) +
            "\necmpHash=mod\nforwardingMode=agent\n"
            "platform.address=" + text(other_store.value_or(net.store())) +
            "\nplatform.forwardingMode=kv\nplatform.writesPerS=400\n"
            "platform.readsPerS=2000\nplatform.historyS=20\n"
            "platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n";
        if (!service.empty())
        {
            lines += "listenAddrs.outbound=" + at(port_out) + "\napp=" +
                     at(port_app) + "\nservice=" + service + "\n";
        }
        std::fputs(lines.c_str(), out);
        std::fclose(out);
        it->start();
        note("%s starts as process %d", name.c_str(), int(it->pid));
        return *(processes[name] = std::move(it));
    }
};
