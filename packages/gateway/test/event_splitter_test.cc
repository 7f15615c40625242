#include <boost/test/unit_test.hpp>

#include "gateway_fixture.h"
#include "siskindrum/gateway/event_splitter.h"

namespace siskindrum::gateway {
namespace {

struct SplitterFixture {
  EventSplitter splitter_;
};

BOOST_FIXTURE_TEST_SUITE(Splitter, SplitterFixture)

BOOST_AUTO_TEST_CASE(ExtractEvents_WhenAnEventArrivesInPieces_ReturnsItWhole) {
  BOOST_TEST(ExtractEvents(splitter_, "id: 1\nda").empty());
  BOOST_TEST(ExtractEvents(splitter_, "ta: x\n").empty());
  BOOST_TEST(ExtractEvents(splitter_, "\nid: 2\n") == "id: 1\ndata: x\n\n");
  BOOST_TEST(splitter_.last_event_.value() == 1U);
}

BOOST_AUTO_TEST_CASE(ExtractEvents_WhenEventsAreRepeated_ReturnsThemOnce) {
  ExtractEvents(splitter_, Events(1, 4));
  DiscardPartial(splitter_);
  BOOST_TEST(ExtractEvents(splitter_, Events(3, 6)) == Events(5, 6));
}

BOOST_AUTO_TEST_CASE(ExtractEvents_WhenLineEndsAreMixed_FindsTheEndInAnyRead) {
  const std::string events[] = {
      "id: 1\ndata: x\n\n",       "id: 1\ndata: x\n\r\n",
      "id: 1\ndata: x\r\n\n",     "id: 1\ndata: x\r\n\r\n",
      "id: 1\r\ndata: x\r\n\r\n", "id: 1\r\ndata: x\n\n",
  };
  for (const std::string& event : events) {
    for (std::size_t cut = 0; cut < event.size(); ++cut) {
      EventSplitter splitter;
      BOOST_TEST(ExtractEvents(splitter, event.substr(0, cut)).empty());
      BOOST_TEST(ExtractEvents(splitter, event.substr(cut)) == event);
      BOOST_TEST(splitter.partial_.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(ExtractEvents_WhenAnEmptyLineFollowsAnEvent_KeepsNothing) {
  BOOST_TEST(ExtractEvents(splitter_, Events(1, 1) + "\n") ==
             Events(1, 1) + "\n");
  BOOST_TEST(splitter_.partial_.empty());
}

BOOST_AUTO_TEST_CASE(ExtractEvents_WhenLinesEndInCrLf_FindsTheEnd) {
  BOOST_TEST(ExtractEvents(splitter_, "id: 9\r\ndata: x\r\n\r\n").size() ==
             18U);
  BOOST_TEST(splitter_.last_event_.value() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace siskindrum::gateway
