// Writes the seeds of every fuzz target: corpus_writer FOLDER. Run it after a
// schema changed (./run generate does).

#include "tests/support/control_samples.hpp"

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace briardrum;

namespace
{

namespace fs = std::filesystem;

auto write(const fs::path& folder, const std::string& name, byte_view bytes)
    -> void
{
    fs::create_directories(folder);
    std::ofstream file(folder / name, std::ios::binary);
    file.write(reinterpret_cast<const char*>(bytes.data()),
               static_cast<std::streamsize>(bytes.size()));
}

// A POST with two path options, Block1, Echo, Request-Tag and a payload.
auto make_post() -> byte_buffer
{
    const byte_buffer plain = {0x42, 2,    0x12, 0x34, 7,   8,    0xb1,
                               'u',  0x01, 'p',  0xd1, 3,   0x0a, 0xd1,
                               252,  9,    0xff, 'x',  '=', '1'};
    coap_edit edit;
    edit.echo = as_bytes("cookie");
    return edit_coap(plain, edit).value();
}

auto make_refusal() -> byte_buffer
{
    const byte_buffer token = {7, 8};
    coap_reply reply;
    reply.code = 503;
    reply.message_id = 9;
    reply.token = token;
    reply.max_age_s = 300;
    reply.text = "not run";
    return write_coap(reply);
}

auto make_envelope(byte_view datagram) -> byte_buffer
{
    envelope message;
    message.service = 3;
    message.target = 11;
    message.caller = {0x7f000001, 40000};
    message.service_address = {0x7f000001, 5683};
    message.datagram = datagram;
    byte_buffer out;
    encode_envelope(message, out);
    return out;
}

auto write_all(const fs::path& folder) -> void
{
    const auto post = make_post();
    write(folder / "coap", "post", post);
    write(folder / "coap", "refusal", make_refusal());
    write(folder / "coap", "empty", byte_buffer{0x70, 0, 0, 9});
    write(folder / "envelope", "post", make_envelope(post));
    // The first byte of a frame seed says in what steps it is fed.
    byte_buffer frames = {5};
    int n = 0;
    for (const auto& message : control_samples())
    {
        const auto bytes = encode_control(message);
        write(folder / "control", "kind" + std::to_string(n++), bytes);
        append_frame(bytes, frames).IgnoreError();
    }
    write(folder / "frame", "all", frames);
    byte_buffer packet;
    write_proxy_header({{1, 2}, {3, 4}, post}, packet);
    write(folder / "proxy", "post", packet);
}

} // namespace

auto main(int count, char** arguments) -> int
{
    if (count != 2)
    {
        std::cerr << "usage: corpus_writer FOLDER\n";
        return 64;
    }
    write_all(arguments[1]);
    return 0;
}
