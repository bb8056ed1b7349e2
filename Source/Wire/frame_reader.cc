#include "Wire/frame_reader.h"

namespace buckthorncart {

std::string MakeFrame(std::string_view payload) {
  const auto length = static_cast<uint32_t>(payload.size());
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(
        static_cast<char>((length >> static_cast<unsigned>(shift)) & 0xFFU));
  }
  frame.append(payload);
  return frame;
}

void FrameReader::Append(std::string_view bytes) {
  if (offset_ == buffer_.size()) {
    buffer_.clear();
    offset_ = 0;
  }
  buffer_.append(bytes);
}

Result<std::optional<std::string>> FrameReader::Next() {
  if (Pending() < kFrameHeaderBytes) return std::nullopt;
  uint32_t length = 0;
  for (size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(buffer_[offset_ + i]);
  }
  if (length > kMaxFrameBytes) return Fail(Errc::kFrameTooLarge);
  if (Pending() < kFrameHeaderBytes + length) return std::nullopt;
  std::string payload = buffer_.substr(offset_ + kFrameHeaderBytes, length);
  offset_ += kFrameHeaderBytes + length;
  if (offset_ > kMaxFrameBytes) {
    buffer_.erase(0, offset_);
    offset_ = 0;
  }
  return payload;
}

}  // namespace buckthorncart
