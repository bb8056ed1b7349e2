#pragma once
/// \file
/// Combines several lambdas into one visitor for `std::visit`.

namespace buckthorncart {

template <typename... Visitors>
struct Overload : Visitors... {
  using Visitors::operator()...;
};

template <typename... Visitors>
Overload(Visitors...) -> Overload<Visitors...>;

}  // namespace buckthorncart
