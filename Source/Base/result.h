#pragma once
/// \file
/// Result of an operation that can fail with a typed failure.

#include <tl/expected.hpp>

#include "Base/error.h"

namespace buckthorncart {

template <typename T>
using Result = tl::expected<T, Failure>;

/// Shorthand for a failed `Result`.
inline tl::unexpected<Failure> Fail(Errc code, std::string subject = {},
                                    std::string expected = {},
                                    std::string advice = {}) {
  return tl::unexpected<Failure>(Failure{
      code, std::move(subject), std::move(expected), std::move(advice)});
}

}  // namespace buckthorncart
