#pragma once
/// \file
/// The way of the claims plug-in to the platform.

#include <cstdint>
#include <optional>

#include "Platform/platform_messages.h"

namespace buckthorncart {

class Context;

class ClaimWriter {
 public:
  virtual ~ClaimWriter() = default;
  /// Carries out a transaction on claim rows, perhaps together with others and
  /// through another daemon unless `direct`. `ClaimWritten` with the returned
  /// tag follows. Returns nothing when it is certainly not carried out.
  virtual std::optional<uint64_t> Write(Context& ctx, Transaction transaction,
                                        bool direct) = 0;
};

}  // namespace buckthorncart
