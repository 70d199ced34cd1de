// One lambda for each alternative of a variant: std::visit(Overloaded{...}, v).
#pragma once

namespace heronshift {

template <class... F> struct Overloaded : F... { using F::operator()...; };
template <class... F> Overloaded(F...) -> Overloaded<F...>; // for compilers without aggregate deduction

} // namespace heronshift
