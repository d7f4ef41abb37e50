#ifndef REVIEW_SITE_HPP
#define REVIEW_SITE_HPP

// A small deployment on loopback for the review's scripts: the platform's store
// and operator, backend servers with their heartbeats, and a caller that writes
// packets. The programs under test are started as processes of their own.
//
// Only POSIX and the C++ library are used.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;

inline auto now_ms() -> std::int64_t
{
    static const auto start = steady::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                                 start)
        .count();
}

inline auto sleep_ms(std::int64_t n) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(n));
}

// record.txt: one line an event, with milliseconds since the start.
class record
{
public:
    explicit record(const std::string& path) : file_(path) {}

    auto line(const char* format, ...) -> void
        __attribute__((format(printf, 2, 3)))
    {
        char text[600];
        va_list args;
        va_start(args, format);
        std::vsnprintf(text, sizeof text, format, args);
        va_end(args);
        const std::lock_guard lock(mutex_);
        file_ << now_ms() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline auto socket_address(const std::string& ip, int port) -> sockaddr_in
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

inline auto bind_socket(int type, const std::string& ip, int port) -> int
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM)
    {
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    const auto place = socket_address(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&place), sizeof place) !=
            0 ||
        (type == SOCK_STREAM && ::listen(fd, 128) != 0))
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

// Reads one HTTP message from a blocking socket. buffer keeps what follows it.
// Returns false at the end of the connection.
inline auto read_http(int fd, std::string& buffer, std::string& head,
                      std::string& body) -> bool
{
    const auto more = [&]
    {
        char bytes[16384];
        const auto n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!more())
        {
            return false;
        }
    }
    head = buffer.substr(0, end + 2);
    std::string lower;
    for (const char it : head)
    {
        lower += static_cast<char>(std::tolower(it));
    }
    std::size_t length = 0;
    const auto at = lower.find("\ncontent-length:");
    if (at != std::string::npos)
    {
        length = std::strtoul(lower.c_str() + at + 16, nullptr, 10);
    }
    while (buffer.size() < end + 4 + length)
    {
        if (!more())
        {
            return false;
        }
    }
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

inline auto send_all(int fd, const std::string& text) -> bool
{
    std::size_t done = 0;
    while (done < text.size())
    {
        const auto n =
            ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

// One call on a connection of its own. Returns the status, or 0.
inline auto http_call(const std::string& ip, int port,
                      const std::string& request_line, const std::string& body,
                      std::int64_t timeout_ms) -> int
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const auto place = socket_address(ip, port);
    int status = 0;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&place),
                  sizeof place) == 0)
    {
        std::string buffer;
        std::string head;
        std::string answer;
        const auto text =
            request_line + " HTTP/1.1\r\nHost: " + ip +
            "\r\nContent-Type: application/json\r\nConnection: close\r\n"
            "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        if (send_all(fd, text) && read_http(fd, buffer, head, answer))
        {
            status = std::atoi(head.c_str() + 9);
        }
    }
    ::close(fd);
    return status;
}

inline auto base64(const std::string& in) -> std::string
{
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < in.size(); n += 3)
    {
        std::uint32_t word = 0;
        const auto left = std::min<std::size_t>(3, in.size() - n);
        for (std::size_t i = 0; i < 3; ++i)
        {
            word = (word << 8U) |
                   (i < left ? static_cast<std::uint8_t>(in[n + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i)
        {
            out += i <= left ? digits[(word >> (18U - 6U * i)) & 63U] : '=';
        }
    }
    return out;
}

// The platform's store, as far as the programs use it: single keys, ranges,
// watches, transactions. Values written by the programs are kept as the base64
// text that they send.
class store
{
public:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
    };

    auto start(const std::string& ip, int port) -> bool
    {
        listener_ = bind_socket(SOCK_STREAM, ip, port);
        if (listener_ < 0)
        {
            return false;
        }
        std::thread(
            [this]
            {
                accept_all();
            })
            .detach();
        return true;
    }

    // The operator's write. Returns when the store has acknowledged it.
    auto put(const std::string& key, const std::string& value) -> void
    {
        const std::lock_guard lock(mutex_);
        write(key, base64(value));
        changed_.notify_all();
    }

    // From now on, connections that are open get no answer and are not closed.
    // New ones work.
    auto silence_open_connections() -> int
    {
        const std::lock_guard lock(mutex_);
        silent_before_ = next_connection_;
        return open_;
    }

private:
    struct change
    {
        std::string key;
        std::string value;
        std::int64_t revision = 0;
    };

    auto write(const std::string& key, const std::string& value) -> void
    {
        ++revision_;
        auto& it = items_[key];
        it.created = it.created == 0 ? revision_ : it.created;
        it.value = value;
        it.revision = revision_;
        history_.push_back({key, value, revision_});
    }

    auto accept_all() -> void
    {
        for (;;)
        {
            const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::int64_t number = 0;
            {
                const std::lock_guard lock(mutex_);
                number = next_connection_++;
                ++open_;
            }
            std::thread(
                [this, fd, number]
                {
                    serve(fd, number);
                    ::close(fd);
                    const std::lock_guard lock(mutex_);
                    --open_;
                })
                .detach();
        }
    }

    auto is_silent(std::int64_t number) const -> bool
    {
        return number < silent_before_;
    }

    auto serve(int fd, std::int64_t number) -> void
    {
        std::string buffer;
        std::string head;
        std::string body;
        while (read_http(fd, buffer, head, body))
        {
            const auto line = head.substr(0, head.find("\r\n"));
            std::string answer;
            int status = 200;
            {
                std::unique_lock lock(mutex_);
                answer = handle(lock, line, body, status);
                if (is_silent(number))
                {
                    continue;
                }
            }
            const auto text =
                "HTTP/1.1 " + std::to_string(status) +
                " X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                "Content-Length: " +
                std::to_string(answer.size()) + "\r\n\r\n" + answer;
            if (!send_all(fd, text))
            {
                return;
            }
        }
    }

    static auto query(const std::string& line, const std::string& name)
        -> std::string
    {
        const auto end = line.find(" HTTP/");
        auto at = line.find('?');
        while (at != std::string::npos && at < end)
        {
            const auto stop = std::min(line.find('&', at + 1), end);
            const auto part = line.substr(at + 1, stop - at - 1);
            if (part.rfind(name + "=", 0) == 0)
            {
                std::string out;
                for (std::size_t n = name.size() + 1; n < part.size(); ++n)
                {
                    if (part[n] == '%' && n + 2 < part.size())
                    {
                        out += static_cast<char>(std::strtol(
                            part.substr(n + 1, 2).c_str(), nullptr, 16));
                        n += 2;
                    }
                    else
                    {
                        out += part[n];
                    }
                }
                return out;
            }
            at = stop == end ? std::string::npos : stop;
        }
        return {};
    }

    static auto item_text(const std::string& key, const item& it) -> std::string
    {
        return "\"key\":\"" + key + "\",\"value\":\"" + it.value +
               "\",\"revision\":" + std::to_string(it.revision) +
               ",\"createRev\":" + std::to_string(it.created) + ",\"lease\":0";
    }

    auto handle(std::unique_lock<std::mutex>& lock, const std::string& line,
                const std::string& body, int& status) -> std::string
    {
        const auto has = [&](const char* text)
        {
            return line.find(text) != std::string::npos;
        };
        if (has("/v1/kv-key"))
        {
            const auto it = items_.find(query(line, "key"));
            status = it == items_.end() ? 404 : 200;
            return "{" +
                   (it == items_.end()
                        ? std::string()
                        : item_text(it->first, it->second) + ",") +
                   "\"currentRev\":" + std::to_string(revision_) + "}";
        }
        if (has("/v1/kv-range"))
        {
            std::string out;
            const auto prefix = query(line, "prefix");
            for (const auto& [key, it] : items_)
            {
                if (key.rfind(prefix, 0) == 0)
                {
                    out +=
                        (out.empty() ? "{" : ",{") + item_text(key, it) + "}";
                }
            }
            return "{\"items\":[" + out +
                   "],\"hasMore\":false,\"currentRev\":" +
                   std::to_string(revision_) + "}";
        }
        if (has("/v1/kv-watch"))
        {
            return watch(lock, query(line, "prefix"),
                         std::atoll(query(line, "after").c_str()),
                         std::atoll(query(line, "waitMs").c_str()));
        }
        if (has("/v1/kv-txn"))
        {
            // The programs write without conditions.
            std::size_t at = 0;
            while ((at = body.find("\"key\":\"", at)) != std::string::npos)
            {
                const auto key =
                    body.substr(at + 7, body.find('"', at + 7) - at - 7);
                // Members of an object come in any order: the value belongs to
                // the same object as the key.
                const auto open = body.rfind('{', at);
                const auto close = body.find('}', at);
                const auto value = body.find("\"value\":\"", open);
                if (value != std::string::npos && value < close)
                {
                    write(key,
                          body.substr(value + 9,
                                      body.find('"', value + 9) - value - 9));
                }
                at = close;
            }
            changed_.notify_all();
            return "{\"revision\":" + std::to_string(revision_) + "}";
        }
        status = 404;
        return "{}";
    }

    auto watch(std::unique_lock<std::mutex>& lock, const std::string& prefix,
               std::int64_t after, std::int64_t wait) -> std::string
    {
        const auto end = steady::now() + std::chrono::milliseconds(wait);
        std::string out;
        const auto collect = [&]
        {
            for (const auto& it : history_)
            {
                if (it.revision > after && it.key.rfind(prefix, 0) == 0)
                {
                    out += (out.empty() ? "{" : ",{") +
                           item_text(it.key, {it.value, it.revision, 1}) + "}";
                }
            }
            return !out.empty();
        };
        while (!collect() &&
               changed_.wait_until(lock, end) != std::cv_status::timeout)
        {
        }
        return "{\"events\":[" + out +
               "],\"currentRev\":" + std::to_string(revision_) + "}";
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::int64_t revision_ = 100;
    std::int64_t next_connection_ = 0;
    std::int64_t silent_before_ = 0;
    int open_ = 0;
    int listener_ = -1;
};

constexpr std::uint8_t flag_syn = 1;
constexpr std::uint8_t flag_rst = 2;
constexpr std::uint8_t flag_bounced = 4;
constexpr std::uint8_t flag_ack = 8;
constexpr std::uint8_t flag_fin = 64;

// A packet of a flow, with the head of PROTOCOL.md.
struct packet
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint8_t flags = 0;
    std::uint32_t source = 0;
    std::uint16_t source_port = 0;
    std::uint32_t destination = 0;
    std::uint16_t destination_port = 0;
    std::string data;

    auto has(std::uint8_t flag) const -> bool
    {
        return (flags & flag) != 0;
    }
};

// Stands in for the keyed sum: covers all fields but echo, pad and BOUNCED.
inline auto sum_of(const std::string& bytes) -> std::uint32_t
{
    std::uint32_t out = 2166136261U;
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        if ((n >= 11 && n < 16) || (n >= 28 && n < 36))
        {
            continue;
        }
        auto it = static_cast<std::uint8_t>(bytes[n]);
        if (n == 10)
        {
            it &= static_cast<std::uint8_t>(~flag_bounced);
        }
        out = (out ^ it) * 16777619U;
    }
    return out;
}

inline auto write_packet(const packet& it) -> std::string
{
    std::string out(36, '\0');
    const auto put = [&](std::size_t at, std::size_t n, std::uint32_t value)
    {
        for (std::size_t i = 0; i < n; ++i)
        {
            out[at + i] = static_cast<char>(
                value >> (8U * static_cast<unsigned>(n - 1 - i)));
        }
    };
    put(0, 2, static_cast<std::uint32_t>(it.data.size()));
    put(2, 4, it.sequence);
    put(6, 4, it.acknowledged);
    put(10, 1, it.flags);
    put(16, 4, it.source);
    put(20, 2, it.source_port);
    put(22, 2, it.destination_port);
    put(24, 4, it.destination);
    out += it.data;
    put(28, 4, sum_of(out));
    return out;
}

inline auto get(const std::string& bytes, std::size_t at, std::size_t n)
    -> std::uint32_t
{
    std::uint32_t out = 0;
    for (std::size_t i = 0; i < n; ++i)
    {
        out = (out << 8U) | static_cast<std::uint8_t>(bytes[at + i]);
    }
    return out;
}

inline auto read_packet(const std::string& bytes) -> std::optional<packet>
{
    if (bytes.size() < 36 || get(bytes, 0, 2) != bytes.size() - 36)
    {
        return std::nullopt;
    }
    packet out;
    out.sequence = get(bytes, 2, 4);
    out.acknowledged = get(bytes, 6, 4);
    out.flags = static_cast<std::uint8_t>(bytes[10]);
    out.source = get(bytes, 16, 4);
    out.source_port = static_cast<std::uint16_t>(get(bytes, 20, 2));
    out.destination_port = static_cast<std::uint16_t>(get(bytes, 22, 2));
    out.destination = get(bytes, 24, 4);
    out.data = bytes.substr(36);
    return out;
}

// Ports are the same on all machines.
struct ports
{
    int base = 0;
    auto datagram() const -> int
    {
        return base;
    }
    auto ready() const -> int
    {
        return base + 1;
    }
    auto control() const -> int
    {
        return base + 2;
    }
    auto outbound() const -> int
    {
        return base + 3;
    }
    auto app() const -> int
    {
        return base + 4;
    }
    auto internal() const -> int
    {
        return base + 5;
    }
    auto platform() const -> int
    {
        return base + 9;
    }
};

// A backend server: answers openings and health checks, runs requests, returns
// what it does not hold, and sends heartbeats.
class server
{
public:
    server(std::string ip, ports used, std::string service, record& log)
        : ip_(std::move(ip)), ports_(used), service_(std::move(service)),
          log_(log), random_(std::random_device{}()),
          id_("i-" + std::to_string(random_()))
    {
    }

    // Called with each request that starts to run.
    std::function<void(const packet&)> on_run;
    // Called with each packet of a flow that this server does not hold.
    std::function<void(const packet&)> on_foreign;

    auto start() -> bool
    {
        socket_ = bind_socket(SOCK_DGRAM, ip_, ports_.app());
        health_ = bind_socket(SOCK_STREAM, ip_, ports_.app());
        if (socket_ < 0 || health_ < 0)
        {
            return false;
        }
        born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
        std::thread(
            [this]
            {
                receive();
            })
            .detach();
        std::thread(
            [this]
            {
                answer_health();
            })
            .detach();
        std::thread(
            [this]
            {
                beat();
            })
            .detach();
        return true;
    }

    auto id() const -> const std::string&
    {
        return id_;
    }
    auto service() const -> const std::string&
    {
        return service_;
    }
    auto ip() const -> const std::string&
    {
        return ip_;
    }
    auto is_known() const -> bool
    {
        return acknowledged_;
    }

private:
    struct flow
    {
        std::uint32_t first = 0;
        std::uint32_t next = 0;
        std::uint32_t expected = 0;
        bool open = false;
    };

    auto receive() -> void
    {
        std::vector<char> bytes(65536);
        for (;;)
        {
            const auto n = ::recv(socket_, bytes.data(), bytes.size(), 0);
            if (n < 0)
            {
                return;
            }
            on_packet({bytes.data(), static_cast<std::size_t>(n)});
        }
    }

    auto send(const std::string& bytes) -> void
    {
        const auto to = socket_address(ip_, ports_.outbound());
        ::sendto(socket_, bytes.data(), bytes.size(), 0,
                 reinterpret_cast<const sockaddr*>(&to), sizeof to);
    }

    auto on_packet(const std::string& bytes) -> void
    {
        const auto in = read_packet(bytes);
        if (!in.has_value() || get(bytes, 28, 4) != sum_of(bytes))
        {
            log_.line("server %s got a packet that its sender did not write so",
                      id_.c_str());
            return;
        }
        const std::string key = bytes.substr(16, 12);
        if (in->has(flag_syn))
        {
            auto& it = flows_[key];
            if (it.first == 0)
            {
                it.first = static_cast<std::uint32_t>(random_()) | 1U;
                it.next = it.first + 1;
                it.expected = in->sequence + 1;
            }
            send(write_packet(
                answer(*in, it.first, it.expected, flag_syn | flag_ack, "")));
            return;
        }
        const auto found = flows_.find(key);
        const auto held =
            found != flows_.end() &&
            (found->second.open || in->acknowledged == found->second.first + 1);
        if (!held)
        {
            if (on_foreign)
            {
                on_foreign(*in);
            }
            auto back = bytes;
            back[10] = static_cast<char>(back[10] | flag_bounced);
            std::fill(back.begin() + 11, back.begin() + 16, '\0');
            send(back);
            return;
        }
        auto& it = found->second;
        it.open = true;
        if (in->data.empty())
        {
            return;
        }
        if (in->sequence != it.expected)
        {
            send(write_packet(answer(*in, it.next, it.expected, flag_ack, "")));
            return;
        }
        it.expected += static_cast<std::uint32_t>(in->data.size());
        if (on_run)
        {
            on_run(*in);
        }
        const auto body = id_ + " " + in->data;
        send(write_packet(answer(*in, it.next, it.expected, flag_ack, body)));
        it.next += static_cast<std::uint32_t>(body.size());
    }

    static auto answer(const packet& to, std::uint32_t sequence,
                       std::uint32_t acknowledged, int flags,
                       const std::string& data) -> packet
    {
        packet out;
        out.sequence = sequence;
        out.acknowledged = acknowledged;
        out.flags = static_cast<std::uint8_t>(flags);
        out.source = to.destination;
        out.source_port = to.destination_port;
        out.destination = to.source;
        out.destination_port = to.source_port;
        out.data = data;
        return out;
    }

    auto answer_health() -> void
    {
        for (;;)
        {
            const int fd = ::accept4(health_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
            {
                return;
            }
            timeval limit{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            std::string buffer;
            std::string head;
            std::string body;
            if (read_http(fd, buffer, head, body))
            {
                send_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
            ::close(fd);
        }
    }

    auto beat() -> void
    {
        for (std::uint64_t sequence = 1;; ++sequence)
        {
            const auto body =
                "{\"service\":\"" + service_ + "\",\"address\":\"" + ip_ + ":" +
                std::to_string(ports_.app()) +
                "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":7,"
                "\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":" +
                std::to_string(sequence) +
                ",\"born\":" + std::to_string(born_) + "}";
            const auto status = http_call(
                ip_, ports_.control(),
                "POST /v1/instances/" + id_ + "/heartbeat", body, 1000);
            acknowledged_ = acknowledged_ || status / 100 == 2;
            sleep_ms(770);
        }
    }

    std::string ip_;
    ports ports_;
    std::string service_;
    record& log_;
    std::mt19937 random_;
    std::string id_;
    std::int64_t born_ = 0;
    int socket_ = -1;
    int health_ = -1;
    std::map<std::string, flow> flows_;
    std::atomic<bool> acknowledged_ = false;
};

// The programs under test, as processes of their own.
class processes
{
public:
    processes(std::string folder, ports used, std::string store_ip,
              std::string balancer, std::string agent)
        : folder_(std::move(folder)), ports_(used),
          store_ip_(std::move(store_ip)), balancer_(std::move(balancer)),
          agent_(std::move(agent))
    {
    }

    ~processes()
    {
        stop_all();
    }

    auto stop_all() -> void
    {
        for (const auto& [name, pid] : pids_)
        {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        pids_.clear();
    }

    // service is empty for a balancer.
    auto write_settings(const std::string& name, const std::string& ip,
                        const std::string& seeds, const std::string& service)
        -> void
    {
        std::ofstream out(folder_ + "/" + name + ".conf");
        const auto at = [&](int port)
        {
            return ip + ":" + std::to_string(port) + "\n";
        };
        const auto side = !service.empty();
        out << "node=" << name << "\nrole=" << (side ? "agent" : "balancer")
            << "\nmachineClass=" << (side ? "side" : "frontend")
            << "\nserves=" << (side ? "side" : "frontend,control_plane")
            << "\nip=" << ip
            << "\nzone=zone-a\nregion=here\nzones.zone-a=here\n"
            << "listenAddrs.datagramAddr=" << at(ports_.datagram())
            << "listenAddrs.readyAddr=" << at(ports_.ready())
            << "listenAddrs.control=" << at(ports_.control());
        if (side)
        {
            out << "listenAddrs.outbound=" << at(ports_.outbound())
                << "app=" << at(ports_.app()) << "service=" << service << "\n";
        }
        out << "internalPorts=" << ports_.internal() << ","
            << ports_.internal() + 3 << "\nseeds=" << seeds
            << "\nbootstrap=true\ninFaultBudget=false\nlimits.cpuShare=0.25\n"
               "limits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
               "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=local\n"
               "entryType=announce\nheartbeatMs=770\n"
               "contracts=base,drain,config,cost,recover,flows,platform\n"
               "faultTolerance.machines=1\nbounds.addrReuseS=2\n"
               "bounds.stableWindowMs=4000\nbounds.ackMs=5000\n"
               "bounds.drainMs=3000\nbounds.graceS=6\n"
               "bounds.configApplyMs=3000\nbounds.rollbackSlackMs=250\n"
               "bounds.maxStretchMs=12000\nbounds.recoveryS=12\n"
               "bounds.reorderWindowMs=2000\nbounds.flowMaxS=60\n"
               "ecmpHash=mod\nforwardingMode=agent\n"
            << "platform.address=" << store_ip_ << ":" << ports_.platform()
            << "\nplatform.forwardingMode=kv\nplatform.writesPerS=400\n"
               "platform.readsPerS=2000\nplatform.historyS=20\n"
               "platform.valueBytes=1048576\nplatform.ttlMinMs=1000\n";
    }

    auto start(const std::string& name, bool side) -> void
    {
        const auto program = side ? agent_ : balancer_;
        const auto settings = folder_ + "/" + name + ".conf";
        const auto log = folder_ + "/" + name + ".log";
        const auto pid = ::fork();
        if (pid == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("BRIARDRUM_CONFIG", settings.c_str(), 1);
            ::execl(program.c_str(), program.c_str(),
                    static_cast<char*>(nullptr));
            ::_exit(127);
        }
        pids_[name] = pid;
    }

    auto signal(const std::string& name, int number) -> void
    {
        ::kill(pids_.at(name), number);
    }

    auto wait_end(const std::string& name) -> void
    {
        ::waitpid(pids_.at(name), nullptr, 0);
        pids_.erase(name);
    }

    // True if a process has ended by itself.
    auto any_ended() -> bool
    {
        for (const auto& [name, pid] : pids_)
        {
            if (::waitpid(pid, nullptr, WNOHANG) == pid)
            {
                return true;
            }
        }
        return false;
    }

private:
    std::string folder_;
    ports ports_;
    std::string store_ip_;
    std::string balancer_;
    std::string agent_;
    std::map<std::string, pid_t> pids_;
};

// Finds a range of ports that nothing uses on these addresses.
inline auto free_ports(const std::vector<std::string>& addresses) -> ports
{
    std::mt19937 random(std::random_device{}());
    for (int n = 0; n < 200; ++n)
    {
        const ports out{20000 + static_cast<int>(random() % 1000) * 10};
        bool good = true;
        for (const auto& ip : addresses)
        {
            for (int port = out.base; port < out.base + 10 && good; ++port)
            {
                for (const int type : {SOCK_STREAM, SOCK_DGRAM})
                {
                    const int fd = bind_socket(type, ip, port);
                    good = good && fd >= 0;
                    ::close(fd);
                }
            }
        }
        if (good)
        {
            return out;
        }
    }
    return {};
}

// The caller's end: writes packets to a balancer, as the fabric would, and
// collects what comes back.
class caller
{
public:
    auto start(const std::string& ip, const ports& used) -> bool
    {
        ports_ = used;
        sockaddr_in place = socket_address(ip, 0);
        address_ = ntohl(place.sin_addr.s_addr);
        socket_ = bind_socket(SOCK_DGRAM, ip, used.datagram());
        if (socket_ < 0)
        {
            return false;
        }
        std::thread(
            [this]
            {
                std::vector<char> bytes(65536);
                for (;;)
                {
                    const auto n =
                        ::recv(socket_, bytes.data(), bytes.size(), 0);
                    if (n < 0)
                    {
                        return;
                    }
                    const auto it = read_packet(
                        {bytes.data(), static_cast<std::size_t>(n)});
                    if (it.has_value())
                    {
                        const std::lock_guard lock(mutex_);
                        got_[it->destination_port].push_back(*it);
                        changed_.notify_all();
                    }
                }
            })
            .detach();
        return true;
    }

    auto next_port() -> std::uint16_t
    {
        return next_port_++;
    }

    auto make(std::uint16_t port, const std::string& host, int route_port) const
        -> packet
    {
        packet out;
        out.source = address_;
        out.source_port = port;
        out.destination = ntohl(socket_address(host, 0).sin_addr.s_addr);
        out.destination_port = static_cast<std::uint16_t>(route_port);
        return out;
    }

    auto send(const std::string& balancer, const packet& it) -> void
    {
        const auto bytes = write_packet(it);
        const auto to = socket_address(balancer, ports_.datagram());
        ::sendto(socket_, bytes.data(), bytes.size(), 0,
                 reinterpret_cast<const sockaddr*>(&to), sizeof to);
    }

    // Waits for a packet to this port that fits; takes it.
    auto wait(std::uint16_t port, std::int64_t timeout_ms,
              const std::function<bool(const packet&)>& fits)
        -> std::optional<packet>
    {
        const auto end = steady::now() + std::chrono::milliseconds(timeout_ms);
        std::unique_lock lock(mutex_);
        for (;;)
        {
            auto& list = got_[port];
            for (auto it = list.begin(); it != list.end(); ++it)
            {
                if (fits(*it))
                {
                    const auto out = *it;
                    list.erase(it);
                    return out;
                }
            }
            if (changed_.wait_until(lock, end) == std::cv_status::timeout)
            {
                return std::nullopt;
            }
        }
    }

private:
    ports ports_;
    std::uint32_t address_ = 0;
    int socket_ = -1;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::uint16_t, std::vector<packet>> got_;
    std::uint16_t next_port_ = 30001;
};

} // namespace review

#endif
