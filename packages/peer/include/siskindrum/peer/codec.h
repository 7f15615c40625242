#ifndef SISKINDRUM_PEER_CODEC_H_
#define SISKINDRUM_PEER_CODEC_H_

#include <string>

#include <tl/expected.hpp>

#include "siskindrum/core/peer_message.h"

namespace siskindrum::peer {

// Version of the messages; entries of another version refuse each other.
inline constexpr int kProtocolVersion = 2;

// Largest message, in bytes: a rules file of a megabyte and its frame.
inline constexpr std::size_t kMaxMessageBytes = 2 * 1024 * 1024;

// Writes a message as CBOR. Thread-safe: yes.
std::string Encode(const core::PeerMessage& message);

// Reads what Encode wrote; the error says what was wrong. Bytes of any kind are
// safe to pass. Thread-safe: yes.
tl::expected<core::PeerMessage, std::string> Decode(const std::string& bytes);

}  // namespace siskindrum::peer

#endif  // SISKINDRUM_PEER_CODEC_H_
