#ifndef SISKINDRUM_GATEWAY_TEST_GATEWAY_FIXTURE_H_
#define SISKINDRUM_GATEWAY_TEST_GATEWAY_FIXTURE_H_

#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "loopback.h"
#include "siskindrum/gateway/gateway.h"
#include "siskindrum/http/clock.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::gateway {

// A minimal protocol for the tests: the header Id identifies a request, the
// header Mark is the server's signature.
inline Dialect TestDialect() {
  Dialect dialect;
  dialect.read_call_ = [](const http::Head& head)
      -> tl::expected<dispatch::CallerCall, std::string> {
    const std::string* id = http::FindField(head, "Id");
    if (id == nullptr) {
      return tl::unexpected(std::string("expected an Id"));
    }
    if (http::FindField(head, "Throw") != nullptr) {
      throw std::runtime_error("a request that throws");
    }
    dispatch::CallerCall call;
    call.label_ = *id;
    call.shape_.path_ = head.target_;
    call.shape_.prompt_tokens_ = 100;
    call.shared_parts_ = {7};
    const std::string* key = http::FindField(head, "Key");
    call.key_ = key == nullptr ? "" : *key;
    return call;
  };
  dialect.read_key_ = [](const http::Head& head) {
    const std::string* key = http::FindField(head, "Key");
    return key == nullptr ? std::string() : *key;
  };
  dialect.make_server_head_ = [](const http::Head& caller,
                                 const AttemptFields& fields) {
    http::Head head = caller;
    http::RemoveConnectionFields(head);
    head.fields_.push_back({"Stage", dispatch::ToString(fields.stage_)});
    head.fields_.push_back({"Handle", fields.handle_});
    if (fields.resume_after_.has_value()) {
      head.fields_.push_back({"After", std::to_string(*fields.resume_after_)});
    }
    return head;
  };
  dialect.read_answer_ = [](const http::Head& head, const std::string& label) {
    AnswerFields fields;
    const std::string* id = http::FindField(head, "Id");
    if (id != nullptr) {
      fields.match_ =
          *id == label ? AnswerMatch::kThisRequest : AnswerMatch::kOtherRequest;
    }
    fields.not_run_ = http::FindField(head, "Not-Run") != nullptr;
    fields.authentic_ = http::FindField(head, "Mark") != nullptr;
    fields.leaving_ = http::FindField(head, "Leaving") != nullptr;
    if (http::FindField(head, "Pause") != nullptr) {
      fields.pause_ = core::Milliseconds(1500);
    }
    return fields;
  };
  dialect.read_prefill_ =
      [](std::string_view body) -> tl::expected<std::string, std::string> {
    return std::string(body);
  };
  dialect.make_reserve_request_ = [](const std::string& server, std::uint32_t,
                                     core::Milliseconds) {
    ControlRequest request;
    request.head_.method_ = "POST";
    request.head_.target_ = "/reserve/" + server;
    return request;
  };
  dialect.read_reservation_ = dialect.read_prefill_;
  dialect.make_refusal_ = [](const core::Verdict& verdict, const std::string&) {
    http::Head head;
    head.status_ = verdict.reason_ == core::Reason::kUnauthorised  ? 401
                   : verdict.run_state_ == core::RunState::kNotRun ? 503
                                                                   : 502;
    return head;
  };
  dialect.make_free_handle_request_ = [](const std::string& handle) {
    ControlRequest request;
    request.head_.method_ = "DELETE";
    request.head_.target_ = "/free/" + handle;
    return request;
  };
  dialect.make_release_request_ = dialect.make_free_handle_request_;
  dialect.make_list_prompts_request_ = [](const std::string& server) {
    ControlRequest request;
    request.head_.method_ = "GET";
    request.head_.target_ = "/kept/" + server;
    return request;
  };
  dialect.read_prompt_list_ = [](std::string_view body)
      -> tl::expected<std::vector<std::uint64_t>, std::string> {
    return std::vector<std::uint64_t>{body.size()};
  };
  dialect.make_list_runs_request_ = dialect.make_list_prompts_request_;
  dialect.read_run_list_ = [](std::string_view body)
      -> tl::expected<std::vector<std::string>, std::string> {
    return std::vector<std::string>{std::string(body)};
  };
  return dialect;
}

inline constexpr char kRules[] =
    "when path=/once* then pool=plain plain repeat=never retries=0 "
    "timeout=5s # asked by Ann\n"
    "when path=/order* then pool=plain plain repeat=never retries=1 "
    "timeout=5s # asked by Flo\n"
    "when path=/read* then pool=plain plain retries=1 timeout=5s "
    "# asked by Bo\n"
    "when path=/resume-twice* then pool=engines resume=allowed retries=2 "
    "timeout=5s # asked by Eve\n"
    "when path=/resume* then pool=engines resume=allowed retries=1 "
    "timeout=5s # asked by Cy\n"
    "when path=/stream* then pool=engines resume=never retries=0 "
    "timeout=5s # asked by Di\n"
    "default then refuse # asked by Ed\n";

// A gateway on its own thread in front of scripted servers.
struct GatewayFixture {
  // A memory limit also bounds the kernel's buffers; zero: neither is bounded.
  explicit GatewayFixture(std::uint64_t memory_limit = 0) {
    GatewayOptions options;
    options.memory_limit_ = memory_limit;
    options.decisions_.name_ = "entry";
    options.decisions_.domain_ = "east";
    options.callers_address_ =
        absl::StrCat("127.0.0.1:", port_ = test::FreePort());
    options.operators_address_ =
        absl::StrCat("127.0.0.1:", operators_port_ = test::FreePort());
    options.drain_limit_ = core::Milliseconds(4000);
    options.dialect_ = TestDialect();
    gateway_ = std::make_unique<Gateway>(options);
    BOOST_REQUIRE(gateway_->Start().has_value());
    thread_ = std::thread([this] { gateway_->Run(); });
    gateway_->Post(dispatch::ConfigurationRead{
        *rules::MakeConfiguration(1, kRules), "test"});
  }
  ~GatewayFixture() {
    boost::asio::post(gateway_->Context(),
                      [this] { gateway_->Context().stop(); });
    thread_.join();
  }
  void AddServer(const std::string& name,
                 const std::string& pool,
                 core::ServerRole role,
                 const std::string& address,
                 bool leaving = false) {
    core::ServerInfo info;
    info.leaving_ = leaving;
    info.name_ = name;
    info.address_ = address;
    info.service_ = pool;
    info.domain_ = "east";
    info.role_ = role;
    gateway_->Post(dispatch::ListSeen{{{info}, {}, false}});
  }
  std::string SendRequest(const std::string& path,
                          const std::string& body = "",
                          int id = 7) const {
    test::Peer peer = test::Peer::Connect(port_);
    peer.Send(absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: h\r\nId: ", id,
                           "\r\n", "Connection: close\r\nContent-Length: ",
                           body.size(), "\r\n\r\n", body));
    return peer.ReadAll();
  }
  // Reads an operators' page until it contains the text; false on timeout.
  bool AwaitOperatorText(const std::string& target,
                         const std::string& text) const {
    const core::TimePoint limit =
        http::MonotonicNow() + core::Milliseconds(test::kWaitMs);
    while (http::MonotonicNow() < limit) {
      test::Peer peer = test::Peer::Connect(operators_port_);
      peer.Send(absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: h\r\n",
                             "Connection: close\r\n\r\n"));
      if (absl::StrContains(peer.ReadAll(), text)) {
        return true;
      }
    }
    return false;
  }

  std::uint16_t port_ = 0;
  std::uint16_t operators_port_ = 0;
  std::unique_ptr<Gateway> gateway_;
  std::thread thread_;
};

inline std::string Answer(const std::string& fields, const std::string& body) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\n", fields,
                      "Content-Length: ", body.size(), "\r\n\r\n", body);
}

inline std::string Events(int first, int last) {
  std::string text;
  for (int i = first; i <= last; ++i) {
    absl::StrAppend(&text, "id: ", i, "\ndata: x\n\n");
  }
  return text;
}

inline constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nId: 7\r\nMark: m\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

}  // namespace siskindrum::gateway

#endif  // SISKINDRUM_GATEWAY_TEST_GATEWAY_FIXTURE_H_
