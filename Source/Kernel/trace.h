#pragma once
/// \file
/// Recorded traces of kernel events.
///
/// A trace is a sequence of frames: one `KernelSettings`, then one
/// `TraceRecord` for each event.

#include <cstdint>
#include <fstream>
#include <string>
#include <vector>

#include "Base/result.h"
#include "Kernel/effect.h"
#include "Kernel/event.h"
#include "Kernel/kernel_settings.h"

namespace buckthorncart {

struct TraceRecord {
  /// Microseconds of kernel time.
  int64_t time_us = 0;
  Event event;
  /// Digest of the effects that the event produced.
  uint64_t effects_digest = 0;
  MSGPACK_DEFINE(time_us, event, effects_digest)
};

struct Trace {
  KernelSettings settings;
  std::vector<TraceRecord> records;
};

/// Digest of the kinds, receivers and contents of `effects`.
uint64_t DigestOfEffects(const std::vector<Effect>& effects);

class TraceWriter {
 public:
  /// Fails with `kUnreadableTrace` when `path` cannot be written.
  static Result<TraceWriter> Open(const std::string& path,
                                  const KernelSettings& settings);
  void Append(Time at, const Event& event, const std::vector<Effect>& effects);

 private:
  explicit TraceWriter(std::ofstream out) : out_(std::move(out)) {}
  std::ofstream out_;
};

/// Fails with `kUnreadableTrace` when `path` is missing, truncated or
/// malformed.
Result<Trace> ReadTrace(const std::string& path);

}  // namespace buckthorncart
