#include "wire/framing/frame_reader.hpp"

#include "wire/bytes/big_endian.hpp"

namespace briardrum
{

auto append_frame(byte_view content, byte_buffer& out) -> absl::Status
{
    if (content.empty())
    {
        return make_error(error_kind::invalid_argument, "frame is empty");
    }
    if (content.size() > frame_bytes_max)
    {
        return make_error(error_kind::oversize, "frame too large");
    }
    put_u32(static_cast<std::uint32_t>(content.size()), out);
    out.insert(out.end(), content.begin(), content.end());
    return absl::OkStatus();
}

auto frame_reader::feed(byte_view bytes) -> void
{
    if (!error_.ok())
    {
        return;
    }
    bytes_.erase(bytes_.begin(),
                 bytes_.begin() + static_cast<std::ptrdiff_t>(consumed_));
    consumed_ = 0;
    bytes_.insert(bytes_.end(), bytes.begin(), bytes.end());
}

auto frame_reader::next() -> absl::StatusOr<std::optional<byte_view>>
{
    if (!error_.ok())
    {
        return error_;
    }
    const auto rest = byte_view(bytes_).subspan(consumed_);
    if (rest.size() < frame_header_bytes)
    {
        return std::nullopt;
    }
    const std::size_t n = get_u32(rest, 0);
    if (n == 0)
    {
        error_ = make_error(error_kind::malformed, "frame is empty");
        return error_;
    }
    if (n > frame_bytes_max)
    {
        error_ = make_error(error_kind::oversize, "frame too large");
        return error_;
    }
    if (rest.size() - frame_header_bytes < n)
    {
        return std::nullopt;
    }
    consumed_ += frame_header_bytes + n;
    return rest.subspan(frame_header_bytes, n);
}

} // namespace briardrum
