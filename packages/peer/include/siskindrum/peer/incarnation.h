#ifndef SISKINDRUM_PEER_INCARNATION_H_
#define SISKINDRUM_PEER_INCARNATION_H_

#include "siskindrum/core/types.h"

namespace siskindrum::peer {

// Makes the incarnation of a process that starts now. It rises with the time of
// day, so that a later run of the same entry has the higher one.
// Thread-safe: yes.
core::Incarnation MakeIncarnation();

}  // namespace siskindrum::peer

#endif  // SISKINDRUM_PEER_INCARNATION_H_
