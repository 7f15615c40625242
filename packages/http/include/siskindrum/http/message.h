#ifndef SISKINDRUM_HTTP_MESSAGE_H_
#define SISKINDRUM_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace siskindrum::http {

struct Field {
  std::string name_;
  std::string value_;
};

// Start line and fields of a request or an answer.
struct Head {
  std::string method_;  // Of a request.
  std::string target_;  // Of a request.
  int status_ = 0;      // Of an answer.
  std::string reason_;  // Of an answer.
  int version_ = 11;    // 10 or 11.
  std::vector<Field> fields_;
};

// Compares without regard to ASCII case. Thread-safe: yes.
bool EqualsCaseInsensitive(std::string_view a, std::string_view b);

// Value of the first field of that name, or nullptr. The pointer lives as long
// as `head` is unchanged. Thread-safe: yes, for a constant head.
const std::string* FindField(const Head& head, std::string_view name);

// Removes all fields of that name. Thread-safe: no.
void RemoveField(Head& head, std::string_view name);

// Replaces all fields of that name by one. Thread-safe: no.
void SetField(Head& head, std::string_view name, std::string value);

// Removes the fields that concern one connection only: those that the protocol
// names, those that the field Connection lists, and the framing of the body.
// Thread-safe: no.
void RemoveConnectionFields(Head& head);

// True when the comma-separated field lists `token`. Thread-safe: yes.
bool HasListToken(const Head& head,
                  std::string_view name,
                  std::string_view token);

// True when the sender lets the connection serve another message.
// Thread-safe: yes.
bool AllowsKeepAlive(const Head& head);

// Usual reason phrase of a status. Thread-safe: yes.
std::string_view ReasonPhrase(int status);

// Writes the start line and the fields as sent, with the empty line.
// Thread-safe: yes.
std::string FormatRequestHead(const Head& head);
std::string FormatResponseHead(const Head& head);

// Frames one piece of a chunked body. Requires: `data` is not empty.
// Thread-safe: yes.
std::string FormatChunk(std::string_view data);

// Ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace siskindrum::http

#endif  // SISKINDRUM_HTTP_MESSAGE_H_
