#pragma once
/// \file
/// Return type of operations that can fail.

#include <tl/expected.hpp>

#include "Base/error.h"

namespace buckthorncart {

template <typename T>
using Result = tl::expected<T, Failure>;

/// Returns a value that converts to a failed `Result` of any type.
inline tl::unexpected<Failure> Fail(Errc code, std::string subject = {},
                                    std::string expected = {},
                                    std::string advice = {}) {
  return tl::unexpected<Failure>(Failure{
      code, std::move(subject), std::move(expected), std::move(advice)});
}

}  // namespace buckthorncart
