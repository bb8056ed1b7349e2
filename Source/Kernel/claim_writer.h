#pragma once
/// \file
/// Interface through which the claims plug-in writes to the platform.

#include <cstdint>
#include <optional>

#include "Platform/platform_messages.h"

namespace buckthorncart {

class Context;

class ClaimWriter {
 public:
  virtual ~ClaimWriter() = default;
  /// Submits a transaction on claim rows. Unless `direct` is set, it may be
  /// batched with others and sent through another daemon. A `ClaimWritten`
  /// event with the returned tag follows. Returns nothing when the transaction
  /// is certain not to be carried out.
  virtual std::optional<uint64_t> Write(Context& ctx, Transaction transaction,
                                        bool direct) = 0;
};

}  // namespace buckthorncart
