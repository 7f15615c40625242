#ifndef SISKINDRUM_GATEWAY_EXCHANGE_P_H_
#define SISKINDRUM_GATEWAY_EXCHANGE_P_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "siskindrum/dispatch/event.h"
#include "siskindrum/gateway/dialect.h"
#include "siskindrum/gateway/event_splitter.h"
#include "siskindrum/http/backend_pool.h"
#include "siskindrum/http/caller_connection.h"
#include "siskindrum/telemetry/metrics.h"

namespace siskindrum::gateway {

// A whole answer of a server that is kept.
struct KeptAnswer {
  http::Head head_;
  std::string body_;
};

// Writes a request of this system's own. Thread-safe: yes.
std::string FormatOwnRequest(OwnRequest request);

// What exchanges share.
struct ExchangeContext {
  const Dialect& dialect_;
  http::BackendPool& pool_;
  telemetry::Metrics& metrics_;
  std::function<void(dispatch::Event)> post_;
};

// One request between its caller and the servers it is sent to. It carries out
// what the decisions order and reports what comes of it; it decides nothing
// but what an answer proves. Owned by the network thread.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(const core::RequestId& id,
           const std::string& label,
           std::shared_ptr<http::CallerConnection> caller,
           http::CallerRequest request,
           ExchangeContext& context);

  // Sends the request to a server; ends the attempt before.
  void Start(const dispatch::StartAttempt& start);
  // Answers the caller without a server, or cuts what was begun.
  void Refuse(const core::Verdict& verdict);
  // Answers the caller with the error that was kept.
  void DeliverKept();
  // The caller has left: ends the attempt.
  void Abandon();
  // The caller has taken what was written.
  void OnCallerWritable();
  // Enforces the patience of the attempt.
  void Sweep(core::TimePoint now);

  const core::RequestId& Id() const { return id_; }
  bool IsDone() const { return done_; }

 private:
  http::AnswerDecision OnHead(std::uint32_t attempt, const http::Head& head);
  void OnBody(std::uint32_t attempt, std::string_view data);
  void OnEnd(std::uint32_t attempt, const http::CallResult& end);
  void EndReserve(const http::CallResult& end);
  void EndPrefill(const http::CallResult& end);
  void EndRun(const http::CallResult& end);
  void PassEvents(std::string_view data);
  // Reads no more from the server while the caller takes nothing.
  void HoldBackIfUnread();
  // Ends the attempt as one that may have run.
  void FailAttempt(core::Reason reason, const std::string& detail);
  void BeginAnswer();
  void Report(dispatch::AttemptOutcome outcome,
              core::RunState run_state,
              core::Reason reason,
              const std::string& detail);
  void ReportReserve(bool ok,
                     bool refused,
                     const std::string& hold,
                     const std::string& detail);
  void ReportPrefill(bool ok,
                     bool refused,
                     const std::string& handle,
                     const std::string& detail);
  // Counts how long the request took until now.
  void Observe(telemetry::Timing timing) const;
  std::string RequestBytes(const dispatch::StartAttempt& start) const;
  bool IsStreaming() const;

  core::RequestId id_;
  std::string label_;
  std::shared_ptr<http::CallerConnection> caller_;
  http::CallerRequest request_;
  ExchangeContext& context_;
  dispatch::StartAttempt start_;
  bool attempt_open_ = false;
  http::CallHandle call_;
  std::optional<http::Head> answer_;  // Of the attempt in progress.
  AnswerFacts facts_;
  std::string body_;  // Of an answer that is gathered whole.
  EventSplitter events_;
  std::optional<KeptAnswer> kept_;
  bool answer_begun_ = false;
  bool is_event_stream_ = false;
  bool paused_ = false;
  bool done_ = false;
  core::TimePoint started_at_{};   // Of the attempt.
  core::TimePoint quiet_since_{};  // Nothing came since then.
};

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_EXCHANGE_P_H_
