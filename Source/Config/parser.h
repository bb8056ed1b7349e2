#pragma once
/// \file
/// Parser of the operators' language; the grammar is in docs/reference.

#include <string_view>

#include "Base/result.h"
#include "Config/statement.h"

namespace buckthorncart {

/// Maximum size of the text of a change in bytes.
inline constexpr size_t kMaxStatementBytes = 256U << 10U;

/// Parses a text that contains either edits or one `show` statement. Fails with
/// `kSyntax` (subject "line L, column C") or `kTooLarge`.
Result<Statement> ParseStatement(std::string_view text);

}  // namespace buckthorncart
