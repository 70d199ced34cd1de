// One function for each alternative of a variant.
#pragma once

namespace heronshift {

/// An overload set of lambdas: std::visit(Overloaded{...}, variant).
template <class... F> struct Overloaded : F... { using F::operator()...; };
template <class... F> Overloaded(F...) -> Overloaded<F...>; // for compilers without aggregate deduction

} // namespace heronshift
