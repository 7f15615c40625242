#ifndef SISKINDRUM_GATEWAY_EXCHANGE_P_H_
#define SISKINDRUM_GATEWAY_EXCHANGE_P_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "siskindrum/dispatch/event.h"
#include "siskindrum/gateway/dialect.h"
#include "siskindrum/gateway/event_splitter.h"
#include "siskindrum/http/backend_pool.h"
#include "siskindrum/http/caller_connection.h"
#include "siskindrum/memory/budget.h"
#include "siskindrum/telemetry/metrics.h"

namespace siskindrum::gateway {

// A complete answer of a server.
struct StoredAnswer {
  http::Head head_;
  std::string body_;
};

// Limit of a body that must be buffered whole; the attempt fails above it.
inline constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;

// Returns whether the answer reports success. Thread-safe: yes.
bool IsSuccess(const http::Head& head);

// Returns true for a status from which a caller concludes that its request did
// not run. Thread-safe: yes.
bool ImpliesNotRun(int status);

// Serializes a control request. Thread-safe: yes.
std::string FormatControlRequest(ControlRequest request);

// Returns what the server said about itself, if anything. An answer to a
// request that was meant for another server says nothing about `server`.
// Thread-safe: yes.
std::optional<dispatch::ServerNoticeReceived> ReadNotice(
    const AnswerFields& fields,
    const std::string& server,
    core::Incarnation incarnation);

// Dependencies shared by all exchanges.
struct ExchangeContext {
  const Dialect& dialect_;
  http::BackendPool& pool_;
  telemetry::Metrics& metrics_;
  std::function<void(dispatch::Event)> post_;
  memory::Budget* budget_ = nullptr;  // Null: nothing is counted.
};

// An attempt at a second server beside the current one. Its answer is buffered
// whole.
struct SecondAttempt {
  dispatch::StartAttempt start_;
  bool open_ = false;
  http::CallHandle call_;
  std::optional<http::Head> answer_;
  AnswerFields fields_;
  std::string body_;
  memory::Charge charge_;
  core::TimePoint started_at_{};
};

// One caller's request and its attempts at servers. It executes the
// dispatcher's actions and reports their outcome as events. The only decision
// that it makes itself is whether an answer proves that the request ran or did
// not run. Network thread only.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(const core::RequestId& id,
           const std::string& label,
           std::shared_ptr<http::CallerConnection> caller,
           http::CallerRequest request,
           ExchangeContext& context);

  // Sends the request to a server; cancels the previous attempt unless it is
  // sent beside that one.
  void Start(const dispatch::StartAttempt& start);
  // Cancels the attempt and reports it as failed, if it is the current one and
  // its server is still silent.
  void Abandon(const dispatch::AbandonAttempt& abandon);
  // Answers the caller with a refusal, or closes the connection when an answer
  // has begun.
  void Refuse(const core::Verdict& verdict);
  // Answers the caller with the server error that was stored, or closes the
  // connection when an answer has begun.
  void DeliverStoredError();
  // Cancels the attempt after the caller has disconnected.
  void Cancel();
  // Resumes reading from the server. Call when all data for the caller has been
  // handed to the kernel.
  void OnCallerWritable();
  // Reports the attempt as silent when its timeout has passed without progress,
  // and again while the silence lasts. Fails a reservation at once.
  void Sweep(core::TimePoint now);

  const core::RequestId& Id() const { return id_; }
  bool IsDone() const { return done_; }

 private:
  // What an answer is by its head: taken, or why not.
  struct CheckedHead {
    http::AnswerDecision decision_ = http::AnswerDecision::kFail;
    AnswerFields fields_;
  };
  // Checks whose answer it is and whether the caller may get it.
  CheckedHead CheckHead(const dispatch::StartAttempt& start,
                        const http::CallHandle& call,
                        const http::Head& head) const;
  // Returns a call that sends the request as `start` says, without callbacks.
  http::BackendCall MakeCall(const dispatch::StartAttempt& start) const;
  // second_attempt.cc: the attempt beside the current one.
  void StartSecond(const dispatch::StartAttempt& start);
  http::AnswerDecision OnSecondHead(std::uint32_t attempt,
                                    const http::Head& head);
  void OnSecondBody(std::uint32_t attempt, std::string_view data);
  void OnSecondEnd(std::uint32_t attempt, const http::CallResult& end);
  // Answers the caller with the second attempt's answer.
  void DeliverSecond();
  void ReportSecond(dispatch::AttemptOutcome outcome,
                    core::RunState run_state,
                    core::Reason reason,
                    const std::string& detail);
  void FailSecond(core::Reason reason, const std::string& detail);
  void CancelSecond();
  // Returns whether the second attempt is the only one and its server has sent
  // nothing for its timeout.
  bool IsSecondSilent(core::TimePoint now) const;

  http::AnswerDecision OnHead(std::uint32_t attempt, const http::Head& head);
  // Returns whether a successful answer with this head may follow what the
  // caller has already received.
  bool ContinuesAnswer(const http::Head& head) const;
  // Returns whether another attempt can complete the answer without repeating
  // what the caller has already received.
  bool CanResume() const;
  void OnBody(std::uint32_t attempt, std::string_view data);
  void OnEnd(std::uint32_t attempt, const http::CallResult& end);
  void OnReserveEnd(const http::CallResult& end);
  void OnPrefillEnd(const http::CallResult& end);
  void OnRequestEnd(const http::CallResult& end);
  void ForwardEvents(std::string_view data);
  // Reports once that the current attempt has brought events for a while.
  void ReportSustained();
  // Pauses reading from the server while too much data waits for the caller.
  void ApplyBackpressure();
  // Returns whether reading from the server was paused until recently for so
  // long that it may have cut off the answer for that reason.
  bool WasCallerSlow() const;
  // Returns whether the server has sent nothing for the attempt's timeout.
  bool IsSilent(core::TimePoint now) const;
  // Cancels the attempt and reports that the request may have run.
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
                     const std::string& detail,
                     bool sent = true);
  // Records the time since the request arrived.
  void RecordTiming(telemetry::Timing timing) const;
  // Returns whether an earlier attempt sent the request to this address. A
  // connection kept since then could still bring the answer to that attempt.
  bool SentBefore(const std::string& address) const;
  // Returns the request without the caller's body.
  std::string RequestBytes(const dispatch::StartAttempt& start) const;
  // Charges what is buffered of the answer. Returns false when the budget has
  // no room for it.
  bool HoldAnswer();
  void RespondWhole(const http::Head& head, std::string body);
  // Marks the exchange as done and frees the request's body.
  void Finish();
  bool IsStreaming() const;

  core::RequestId id_;
  std::string label_;
  std::shared_ptr<http::CallerConnection> caller_;
  http::CallerRequest request_;                     // Without the body.
  std::shared_ptr<const http::Body> request_body_;  // Shared by all attempts.
  ExchangeContext& context_;
  dispatch::StartAttempt start_;
  std::vector<std::string> sent_to_;  // Addresses of all attempts.
  bool attempt_open_ = false;
  http::CallHandle call_;
  std::optional<http::Head> answer_;  // Answer head of the current attempt.
  AnswerFields answer_fields_;
  std::string body_;  // Buffered body of the current attempt.
  EventSplitter events_;
  SecondAttempt second_;
  memory::Charge answer_charge_;  // For all that is buffered of answers.
  std::optional<StoredAnswer> stored_error_;
  bool answer_begun_ = false;
  bool is_event_stream_ = false;
  bool attempt_has_events_ = false;  // Of the current attempt, for the caller.
  // The server ended the connection of the current attempt too early.
  bool connection_lost_ = false;
  bool paused_ = false;
  core::TimePoint paused_at_{};   // Start of the last pause.
  core::TimePoint slow_until_{};  // End of the last long pause.
  bool done_ = false;
  bool answer_ended_by_close_ = false;
  bool sustained_reported_ = false;     // For the current attempt.
  core::TimePoint started_at_{};        // Start of the current attempt.
  core::TimePoint first_event_at_{};    // Of the current attempt.
  core::TimePoint last_progress_at_{};  // The timeout counts from here.
  core::TimePoint silence_reported_at_{};
  core::TimePoint last_event_at_{};   // Last event sent to the caller.
  core::Nanoseconds longest_gap_{0};  // Between two such events.
};

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_EXCHANGE_P_H_
