#pragma once
/// \file
/// Parser of the operators' language; the grammar is in docs/reference.

#include <string_view>

#include "Base/result.h"
#include "Config/statement.h"

namespace buckthorncart {

/// Bound on the text of one change, bytes.
inline constexpr size_t kMaxStatementBytes = 256U << 10U;

/// Parses a text that holds either edits or one `show`. Fails with `kSyntax`
/// (subject "line L, column C") or `kTooLarge`.
Result<Statement> ParseStatement(std::string_view text);

}  // namespace buckthorncart
