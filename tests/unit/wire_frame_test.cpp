#include "tests/support/fuzz_inputs.hpp"
#include "wire/wire.hpp"

#include <doctest/doctest.h>

using namespace briardrum;

namespace
{

auto frame_of(byte_view content) -> byte_buffer
{
    byte_buffer out;
    REQUIRE(append_frame(content, out).ok());
    return out;
}

auto take_all(frame_reader& reader) -> std::vector<byte_buffer>
{
    std::vector<byte_buffer> frames;
    auto it = reader.next();
    for (; it.ok() && it->has_value(); it = reader.next())
    {
        frames.push_back(to_buffer(**it));
    }
    REQUIRE(it.ok());
    return frames;
}

} // namespace

TEST_CASE("frames are reassembled regardless of how the stream is split")
{
    std::vector<byte_buffer> sent;
    byte_buffer stream;
    for (std::size_t n = 1; n < 40; ++n)
    {
        sent.emplace_back(n * n, static_cast<std::uint8_t>(n));
        REQUIRE(append_frame(sent.back(), stream).ok());
    }
    for (std::size_t step = 1; step < stream.size(); step += 7)
    {
        frame_reader reader;
        std::vector<byte_buffer> got;
        for (std::size_t at = 0; at < stream.size(); at += step)
        {
            const auto n = std::min(step, stream.size() - at);
            reader.feed(byte_view(stream).subspan(at, n));
            for (auto& frame : take_all(reader))
            {
                got.push_back(std::move(frame));
            }
        }
        REQUIRE(got == sent);
    }
}

TEST_CASE("a truncated frame yields no frame")
{
    const auto bytes = frame_of(as_bytes("content"));
    for_each_truncation(bytes,
                        [](byte_view part)
                        {
                            frame_reader reader;
                            reader.feed(part);
                            REQUIRE(take_all(reader).empty());
                        });
}

TEST_CASE("the largest frame is accepted, a larger or empty one is an error")
{
    frame_reader reader;
    const byte_buffer largest(frame_bytes_max, 3);
    reader.feed(frame_of(largest));
    CHECK(take_all(reader).size() == 1);
    reader.feed(byte_buffer{0x00, 0x20, 0x00, 0x01});
    CHECK(error_kind_of(reader.next().status()) == error_kind::oversize);
    reader.feed(frame_of(as_bytes("late")));
    CHECK(error_kind_of(reader.next().status()) == error_kind::oversize);

    frame_reader other;
    other.feed(byte_buffer{0, 0, 0, 0});
    CHECK(error_kind_of(other.next().status()) == error_kind::malformed);

    byte_buffer out = {1};
    CHECK(error_kind_of(append_frame(byte_buffer(frame_bytes_max + 1, 0),
                                     out)) == error_kind::oversize);
    CHECK(error_kind_of(append_frame({}, out)) == error_kind::invalid_argument);
    CHECK(out == byte_buffer{1});
}

TEST_CASE("random bytes never yield more bytes of frames than were fed")
{
    for_each_random(64, 71,
                    [](byte_view bytes)
                    {
                        frame_reader reader;
                        reader.feed(bytes);
                        std::size_t total = 0;
                        auto it = reader.next();
                        for (; it.ok() && it->has_value(); it = reader.next())
                        {
                            total += (*it)->size() + frame_header_bytes;
                        }
                        REQUIRE(total <= bytes.size());
                    });
}
