#ifndef SISKINDRUM_CORE_OVERLOADED_H_
#define SISKINDRUM_CORE_OVERLOADED_H_

namespace siskindrum::core {

// Combines lambdas into one overload set for std::visit. As thread-safe as the
// lambdas.
template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace siskindrum::core

#endif  // SISKINDRUM_CORE_OVERLOADED_H_
