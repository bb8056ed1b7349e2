#include "Base/error.h"

namespace buckthorncart {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "buckthorncart"; }
  std::string message(int value) const override {
    return std::string(NameOf(static_cast<Errc>(value)));
  }
};

}  // namespace

const std::error_category& ErrorCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(Errc code) {
  return {static_cast<int>(code), ErrorCategory()};
}

std::string Failure::Describe() const {
  std::string line = make_error_code(code).message();
  if (!subject.empty()) line += ": " + subject;
  if (!expected.empty()) line += "; expected " + expected;
  if (!advice.empty()) line += "; " + advice;
  return line;
}

}  // namespace buckthorncart
