#ifndef SISKINDRUM_HTTP_TEST_ENDLESS_ANSWER_H_
#define SISKINDRUM_HTTP_TEST_ENDLESS_ANSWER_H_

#include <cstddef>
#include <fstream>
#include <ostream>
#include <string>
#include <vector>

#include <unistd.h>

#include "loopback.h"

namespace siskindrum::test {

// What a faulty server sends once, and then again and again until the caller
// closes the connection.
struct EndlessAnswer {
  const char* name_;
  std::string begin_;
  std::string again_;
};

inline std::ostream& operator<<(std::ostream& out,
                                const EndlessAnswer& answer) {
  return out << answer.name_;
}

// Returns an answer for each place in which bytes may come without end.
// `fields` are lines of the head that the test needs, each with its line end.
inline std::vector<EndlessAnswer> EndlessAnswers(
    const std::string& fields = "") {
  const std::string piece(4096, 'x');
  const std::string ok = "HTTP/1.1 200 OK\r\n" + fields;
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"start line", "HTTP/1.1 200 ", piece},
      {"value of a field", ok + "X: ", piece},
      {"fields", ok, "X: " + piece + "\r\n"},
      {"chunk header", chunked, std::string(4096, '0')},
      {"chunk extension", chunked + "5;x=", piece},
      {"trailers", chunked + "0\r\n", "X: " + piece + "\r\n"},
      {"chunks", chunked, "1000\r\n" + piece + "\r\n"},
      {"body without length", ok + "\r\n", piece},
      {"error without length", "HTTP/1.1 500 Oops\r\n" + fields + "\r\n",
       piece},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
}

// Sends the answer until the caller closes (true), or `most` bytes were sent
// (false).
inline bool SendUntilClosed(Peer& peer,
                            const EndlessAnswer& answer,
                            std::size_t most) {
  bool is_open = peer.Send(answer.begin_);
  for (std::size_t sent = 0; is_open && sent < most;
       sent += answer.again_.size()) {
    is_open = peer.Send(answer.again_);
  }
  return !is_open;
}

// Returns the memory of this process in bytes.
inline std::size_t ResidentBytes() {
  std::size_t total = 0;
  std::size_t resident = 0;
  std::ifstream("/proc/self/statm") >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace siskindrum::test

#endif  // SISKINDRUM_HTTP_TEST_ENDLESS_ANSWER_H_
