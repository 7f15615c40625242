#ifndef SISKINDRUM_STANDIN_ENGINE_SERVER_H_
#define SISKINDRUM_STANDIN_ENGINE_SERVER_H_

#include <memory>
#include <string>

#include "siskindrum/model/engine.h"

namespace siskindrum::standin {

struct EngineServerOptions {
  std::string host_ = "127.0.0.1";
  int port_ = 0;
  std::size_t threads_ = 600;
  core::Milliseconds load_lag_{0};  // Age of what /engine/load reports.
  model::EngineSettings engine_;
};

// The model engine behind HTTP, on real time, in the dialect of
// docs/BACKENDS.md. Test-only. Faults are set by POST /control.
class EngineServer {
 public:
  explicit EngineServer(EngineServerOptions options);
  ~EngineServer();
  EngineServer(const EngineServer&) = delete;
  EngineServer& operator=(const EngineServer&) = delete;

  // Serves until the process ends or Stop; false when the port is taken.
  bool Serve();

  // Thread-safe: yes.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Text of a token: the same on every engine for the same prompt and position,
// so that a test can tell whether an answer is whole.
std::string TokenText(const std::string& prompt, std::uint32_t position);

}  // namespace siskindrum::standin

#endif  // SISKINDRUM_STANDIN_ENGINE_SERVER_H_
