#pragma once
/// \file
/// Paths and query parameters of the operators' interface.

#include <map>
#include <string>
#include <string_view>

namespace buckthorncart {

struct Url {
  std::string path;
  std::map<std::string, std::string> query;

  /// Value of `key`, or empty.
  std::string_view Get(const std::string& key) const;
};

/// Splits and percent-decodes `target`.
Url ParseUrl(std::string_view target);

/// Percent-encodes all characters except unreserved ones and those in
/// `unescaped`.
std::string PercentEncode(std::string_view text,
                          std::string_view unescaped = {});

}  // namespace buckthorncart
