#pragma once
/// \file
/// Failures as JSON bodies.

#include <string>

#include "Base/error.h"

namespace buckthorncart {

/// `{"error": …, "subject": …, "expected": …, "advice": …}`.
std::string FailureJson(const Failure& failure);

}  // namespace buckthorncart
