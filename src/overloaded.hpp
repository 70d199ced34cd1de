// Visits a variant with one lambda for each alternative.
#pragma once

namespace heronshift {

/// An overload set of lambdas: std::visit(Overloaded{...}, variant).
template <class... F> struct Overloaded : F... { using F::operator()...; };
// Deduction guide for compilers that cannot deduce the template arguments of an aggregate.
template <class... F> Overloaded(F...) -> Overloaded<F...>;

} // namespace heronshift
