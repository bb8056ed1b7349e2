#pragma once
/// \file
/// One request of an HTTP connection and the answer to it.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "Base/time.h"
#include "Wire/http.h"
#include "Wire/http_format.h"

namespace buckthorncart {

class HttpRequestReader;

/// Memory that a request takes until it has been answered, in bytes.
struct RequestMemory {
  uint64_t body_bytes = 0;
  size_t head_bytes = 0;
};

/// Returns the memory of the complete request in `reader`. A small body counts
/// with the head.
RequestMemory MemoryOfRequest(const HttpRequestReader& reader);

/// Holds a request until it is started and then the parts of its answer until
/// they are formatted for the connection.
class HttpExchange {
 public:
  /// A request that was read completely at `read_at`.
  HttpExchange(HttpRequest request, Time read_at, const RequestMemory& memory);
  /// An answer without a request that a handler knows, such as the one to a
  /// malformed request.
  explicit HttpExchange(AnswerPart answer);

  /// Moves the request out. `id` is its ID for the handler; `overlaps` tells
  /// whether further requests may start before its answer is complete.
  HttpRequest Start(uint64_t id, bool overlaps);
  bool IsStarted() const { return started_; }
  bool Overlaps() const { return overlaps_; }
  /// Returns 0 before the start and for an answer without a request.
  uint64_t Id() const { return id_; }
  const HttpRequest& Request() const { return request_; }
  Time ReadAt() const { return read_at_; }
  const RequestMemory& Memory() const { return memory_; }

  /// Adds a part of the answer. Parts after the last one are ignored.
  void Add(AnswerPart part);
  bool HasPart() const { return !parts_.empty(); }
  /// Returns true if the next part breaks the answer off.
  bool IsBrokenNext() const;
  /// Removes the next part and returns its bytes on the connection. With
  /// `close`, a head announces that the connection will be closed.
  std::string FormatNext(bool close);
  /// Returns true when the whole answer has been formatted.
  bool IsWritten() const { return complete_ && parts_.empty(); }

  /// Returns the size of the request, in bytes.
  size_t RequestBytes() const { return request_bytes_; }
  /// Returns the body bytes of the answer that have not been formatted.
  size_t BufferedBytes() const { return buffered_bytes_; }
  /// Returns the body bytes that have been formatted since the last call if
  /// there are at least `least` of them, otherwise 0.
  size_t TakeWrittenBytes(size_t least);

 private:
  std::string FormatHead(const AnswerPart& part, bool close);

  HttpRequest request_;
  Time read_at_{};
  RequestMemory memory_;
  size_t request_bytes_ = 0;
  bool is_head_request_ = false;
  bool started_ = false;
  bool overlaps_ = false;
  uint64_t id_ = 0;
  std::deque<AnswerPart> parts_;
  /// The last part has been added.
  bool complete_ = false;
  AnswerFraming framing_ = AnswerFraming::kLength;
  size_t buffered_bytes_ = 0;
  size_t written_bytes_ = 0;
};

}  // namespace buckthorncart
