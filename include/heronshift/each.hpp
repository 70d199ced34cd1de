// One lambda for each alternative of a variant: std::visit(Each{...}, v).
#pragma once

namespace heronshift {

template <class... F> struct Each : F... { using F::operator()...; };
template <class... F> Each(F...) -> Each<F...>; // for compilers without aggregate deduction

} // namespace heronshift
