#ifndef SISKINDRUM_HTTP_MESSAGE_H_
#define SISKINDRUM_HTTP_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace siskindrum::http {

struct Field {
  std::string name_;
  std::string value_;
};

// Start line and header fields of a request or an answer.
struct Head {
  std::string method_;  // Request only.
  std::string target_;  // Request only.
  int status_ = 0;      // Answer only.
  std::string reason_;  // Answer only.
  int version_ = 11;    // 10 for HTTP/1.0, 11 for HTTP/1.1.
  std::vector<Field> fields_;
};

// Compares two strings, ignoring ASCII case. Thread-safe: yes.
bool EqualsCaseInsensitive(std::string_view a, std::string_view b);

// Returns the value of the first field of that name, or nullptr. The pointer is
// valid until `head` changes. Thread-safe: yes, for a constant head.
const std::string* FindField(const Head& head, std::string_view name);

// Returns the memory that a head takes, roughly. Thread-safe: yes, for a
// constant head.
std::size_t HeadBytes(const Head& head);

// Removes all fields of that name. Thread-safe: no.
void RemoveField(Head& head, std::string_view name);

// Replaces all fields of that name by one. Thread-safe: no.
void SetField(Head& head, std::string_view name, std::string value);

// Removes the hop-by-hop fields: those defined by HTTP, those listed in the
// Connection field, and the fields that frame the body.
// Thread-safe: no.
void RemoveConnectionFields(Head& head);

// Returns true when the comma-separated field contains `token`. Thread-safe:
// yes.
bool HasListToken(const Head& head,
                  std::string_view name,
                  std::string_view token);

// Returns true when the sender allows the connection to be reused.
// Thread-safe: yes.
bool AllowsKeepAlive(const Head& head);

// Returns false when HTTP allows no body in an answer of that status to a
// request of that method. Thread-safe: yes.
bool AllowsBody(std::string_view method, int status);

// Returns the standard reason phrase of a status. Thread-safe: yes.
std::string_view ReasonPhrase(int status);

// Serialize the start line and the fields, including the final empty line.
// Thread-safe: yes.
std::string FormatRequestHead(const Head& head);
std::string FormatResponseHead(const Head& head);

// Formats one chunk of a chunked body. Requires: `data` is not empty.
// Thread-safe: yes.
std::string FormatChunk(std::string_view data);

// Terminates a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_MESSAGE_H_
