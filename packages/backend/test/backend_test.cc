#define BOOST_TEST_MODULE backend
#include <boost/test/unit_test.hpp>

#include "siskindrum/backend/engine.h"
#include "siskindrum/backend/plain.h"
#include "siskindrum/core/limits.h"

namespace siskindrum::backend {
namespace {

constexpr char kNobody[] = "127.0.0.1:1";  // Nothing listens there.

BOOST_AUTO_TEST_SUITE(Backend)

BOOST_AUTO_TEST_CASE(ParseDecodeLine_OfEachKind_IsRead) {
  const auto token = ParseDecodeLine(
      R"({"request":"000000000000000a-7","attempt":2,"position":3,"text":"hi"})");
  BOOST_REQUIRE(token.has_value());
  BOOST_TEST(token->stamp_.request_.incarnation_ == 10U);
  BOOST_TEST(token->stamp_.position_ == 3U);
  BOOST_TEST((ParseDecodeLine(R"({"imported":true})")->kind_ ==
              DecodeLine::Kind::kImported));
  BOOST_TEST((ParseDecodeLine(R"({"finished":"stop"})")->kind_ ==
              DecodeLine::Kind::kFinished));
  for (const char* bad :
       {"", "{", "[]", "{}", R"({"request":"x","attempt":1,"position":1})",
        R"({"request":"a-1","attempt":-1,"position":1,"text":""})"}) {
    BOOST_TEST(!ParseDecodeLine(bad).has_value(), bad);
  }
}

BOOST_AUTO_TEST_CASE(ParseLoad_WhenARowIsStrange_SkipsIt) {
  const auto report = ParseLoad(
      R"({"running":3,"slots":20,"draining":true,
          "held":[{"request":"a-1","owner":"e"},{"request":"other"},5]})");
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report->draining_);
  BOOST_TEST(report->held_.size() == 1U);
  BOOST_TEST(!ParseLoad(R"({"running":3})").has_value());
  BOOST_TEST(!ParseLoad("null").has_value());
}

BOOST_AUTO_TEST_CASE(Run_WhenNobodyListens_ProvesNotRun) {
  HttpCall call;
  HttpRequest request;
  request.address_ = kNobody;
  request.path_ = "/";
  const auto answer = call.Run(request);
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error().run_state_ == core::RunState::kNotRun));
  BOOST_TEST((answer.error().reason_ == core::Reason::kConnectFailed));
}

BOOST_AUTO_TEST_CASE(Run_AfterStop_SendsNothing) {
  HttpCall call;
  call.Stop();
  HttpRequest request;
  request.address_ = kNobody;
  const auto answer = call.Run(request);
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error().reason_ == core::Reason::kCallerGone));
}

BOOST_AUTO_TEST_CASE(CallPlain_WhenTheDecisionIsOld_IsNotSent) {
  HttpCall call;
  core::SendPlain order;
  order.address_ = kNobody;
  order.once_ = true;
  order.decided_at_ = std::chrono::steady_clock::now() - core::kMaxSendAge -
                      core::Milliseconds(1);
  const auto answer = CallPlain(call, order);
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error().reason_ == core::Reason::kSendTooOld));
  order.once_ = false;
  BOOST_TEST(
      (CallPlain(call, order).error().reason_ == core::Reason::kConnectFailed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::backend
