#include "siskindrum/peer/codec.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace siskindrum::peer {

namespace {

using Json = nlohmann::json;
using namespace core;  // NOLINT: every type of the codec lives there.

constexpr int kMaxDepth = 12;
constexpr std::size_t kMaxRows = 200000;

// Refuses, before the value is built, deep nesting, since the parser recurses,
// and fractions, which would overflow the integers that they stand for.
struct ShapeGuard : nlohmann::json_sax<Json> {
  int depth_ = 0;
  bool null() override { return true; }             // NOLINT
  bool boolean(bool) override { return true; }      // NOLINT
  bool number_integer(number_integer_t) override {  // NOLINT
    return true;
  }
  bool number_unsigned(number_unsigned_t) override {  // NOLINT
    return true;
  }
  bool number_float(number_float_t, const string_t&) override {  // NOLINT
    return false;
  }
  bool string(string_t&) override { return true; }           // NOLINT
  bool binary(binary_t&) override { return true; }           // NOLINT
  bool start_object(std::size_t) override { return false; }  // NOLINT
  bool key(string_t&) override { return true; }              // NOLINT
  bool end_object() override { return true; }                // NOLINT
  bool start_array(std::size_t) override {                   // NOLINT
    return ++depth_ <= kMaxDepth;
  }
  bool end_array() override {  // NOLINT
    --depth_;
    return true;
  }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {  // NOLINT
    return false;
  }
};

void Take(const Json& json, std::uint32_t& value) {
  value = json.get<std::uint32_t>();
}

// Declared ahead, so that the templates below find them.
Json Put(const RequestId& row);
void Take(const Json& json, RequestId& row);
Json Put(const CellDigest& row);
void Take(const Json& json, CellDigest& row);
Json Put(const Candidate& row);
void Take(const Json& json, Candidate& row);
Json Put(const MemberRow& row);
void Take(const Json& json, MemberRow& row);
Json Put(const ServerInfo& row);
void Take(const Json& json, ServerInfo& row);
Json Put(const EntryInfo& row);
void Take(const Json& json, EntryInfo& row);
Json Put(const SeatRecord& row);
void Take(const Json& json, SeatRecord& row);
Json Put(const ServerUse& row);
void Take(const Json& json, ServerUse& row);
Json Put(const CrashSuspect& row);
void Take(const Json& json, CrashSuspect& row);
Json Put(const HarmlessPart& row);
void Take(const Json& json, HarmlessPart& row);
Json Put(const QuarantinedParts& row);
void Take(const Json& json, QuarantinedParts& row);
Json Put(const QuotaAskRow& row);
void Take(const Json& json, QuotaAskRow& row);
Json Put(const QuotaLoanRow& row);
void Take(const Json& json, QuotaLoanRow& row);
Json Put(const QuotaReturnRow& row);
void Take(const Json& json, QuotaReturnRow& row);

// Every struct is written as an array of its fields in order of declaration.

Json Put(const RequestId& id) {
  return Json::array({id.incarnation_, id.sequence_});
}
void Take(const Json& json, RequestId& id) {
  id.incarnation_ = json.at(0).get<std::uint64_t>();
  id.sequence_ = json.at(1).get<std::uint64_t>();
}

template <class Enum>
Enum TakeEnum(const Json& json) {
  const auto value = json.get<std::uint64_t>();
  if (value >= static_cast<std::uint64_t>(Enum::kCount)) {
    throw Json::other_error::create(501, "enumeration out of range", &json);
  }
  return static_cast<Enum>(value);
}

template <class Enum>
int PutEnum(Enum value) {
  return static_cast<int>(value);
}

template <class Row>
Json PutRows(const std::vector<Row>& rows) {
  Json json = Json::array();
  for (const Row& row : rows) {
    json.push_back(Put(row));
  }
  return json;
}

template <class Row>
void TakeRows(const Json& json, std::vector<Row>& rows) {
  if (!json.is_array() || json.size() > kMaxRows) {
    throw Json::other_error::create(501, "expected an array", &json);
  }
  rows.resize(json.size());
  for (std::size_t i = 0; i < json.size(); ++i) {
    Take(json[i], rows[i]);
  }
}

// Returns the era of a position; an earlier version does not send it.
std::uint64_t TakeEra(const Json& json, std::size_t index) {
  return json.size() > index ? json.at(index).get<std::uint64_t>() : 0;
}

Json Put(const CellDigest& row) {
  return Json::array({row.cell_, row.free_slots_, row.waiting_, row.wait_ms_,
                      row.prefill_rate_});
}
void Take(const Json& json, CellDigest& row) {
  row.cell_ = json.at(0).get<std::string>();
  row.free_slots_ = json.at(1).get<std::int32_t>();
  row.waiting_ = json.at(2).get<std::uint32_t>();
  row.wait_ms_ = json.at(3).get<std::uint32_t>();
  row.prefill_rate_ = json.at(4).get<std::uint32_t>();
}

Json Put(const MemberRow& row) {
  return Json::array({row.name_, row.address_, row.domain_, row.incarnation_,
                      row.counter_, row.revision_, row.list_version_.revision_,
                      row.leaving_, PutRows(row.cells_), row.leaving_servers_,
                      row.role_changing_servers_, row.domain_entries_,
                      row.list_version_.era_});
}
void Take(const Json& json, MemberRow& row) {
  row.name_ = json.at(0).get<std::string>();
  row.address_ = json.at(1).get<std::string>();
  row.domain_ = json.at(2).get<std::string>();
  row.incarnation_ = json.at(3).get<std::uint64_t>();
  row.counter_ = json.at(4).get<std::uint64_t>();
  row.revision_ = json.at(5).get<std::uint64_t>();
  row.list_version_.revision_ = json.at(6).get<std::uint64_t>();
  row.leaving_ = json.at(7).get<bool>();
  TakeRows(json.at(8), row.cells_);
  row.leaving_servers_ = json.at(9).get<std::vector<std::string>>();
  row.role_changing_servers_ = json.at(10).get<std::vector<std::string>>();
  // An earlier version does not say.
  row.domain_entries_ = json.size() > 11 ? json.at(11).get<std::uint32_t>() : 0;
  row.list_version_.era_ = TakeEra(json, 12);
}

Json Put(const Candidate& row) {
  return Json::array({row.server_, row.role_, row.note_});
}
void Take(const Json& json, Candidate& row) {
  row.server_ = json.at(0).get<std::string>();
  row.role_ = json.at(1).get<std::string>();
  row.note_ = json.at(2).get<std::string>();
}

Json Put(const Placement& row) {
  return Json::array(
      {row.cell_, row.prefill_, row.decode_, PutRows(row.candidates_)});
}
void Take(const Json& json, Placement& row) {
  row.cell_ = json.at(0).get<std::string>();
  row.prefill_ = json.at(1).get<std::string>();
  row.decode_ = json.at(2).get<std::string>();
  TakeRows(json.at(3), row.candidates_);
}

Json Put(const Requirements& need) {
  return Json::array({Put(need.request_), need.owner_name_, need.organisation_,
                      need.prompt_tokens_, need.pieces_, need.share_,
                      need.prefix_hash_, need.prefix_tokens_,
                      PutEnum(need.priority_), PutEnum(need.prefer_),
                      need.decode_only_, need.avoid_, need.owner_domain_});
}
void Take(const Json& json, Requirements& need) {
  Take(json.at(0), need.request_);
  need.owner_name_ = json.at(1).get<std::string>();
  need.organisation_ = json.at(2).get<std::string>();
  need.prompt_tokens_ = json.at(3).get<std::uint32_t>();
  need.pieces_ = json.at(4).get<std::uint32_t>();
  need.share_ = json.at(5).get<std::uint32_t>();
  need.prefix_hash_ = json.at(6).get<std::uint64_t>();
  need.prefix_tokens_ = json.at(7).get<std::uint32_t>();
  need.priority_ = TakeEnum<Priority>(json.at(8));
  need.prefer_ = TakeEnum<Preference>(json.at(9));
  need.decode_only_ = json.at(10).get<bool>();
  need.avoid_ = json.at(11).get<std::vector<std::string>>();
  need.owner_domain_ = json.at(12).get<std::string>();
}

Json Put(const ServerInfo& info) {
  return Json::array({info.name_, info.address_, info.service_, info.domain_,
                      PutEnum(info.role_), info.leaving_, info.incarnation_,
                      info.software_version_});
}
void Take(const Json& json, ServerInfo& info) {
  info.name_ = json.at(0).get<std::string>();
  info.address_ = json.at(1).get<std::string>();
  info.service_ = json.at(2).get<std::string>();
  info.domain_ = json.at(3).get<std::string>();
  info.role_ = TakeEnum<ServerRole>(json.at(4));
  info.leaving_ = json.at(5).get<bool>();
  // An earlier version does not say.
  info.incarnation_ = json.size() > 6 ? json.at(6).get<std::uint64_t>() : 0;
  info.software_version_ =
      json.size() > 7 ? json.at(7).get<std::string>() : std::string();
}

Json Put(const EntryInfo& info) {
  return Json::array({info.name_, info.address_, info.domain_, info.leaving_});
}
void Take(const Json& json, EntryInfo& info) {
  info.name_ = json.at(0).get<std::string>();
  info.address_ = json.at(1).get<std::string>();
  info.domain_ = json.at(2).get<std::string>();
  info.leaving_ = json.at(3).get<bool>();
}

// Byte strings that need not be UTF-8 travel as CBOR binary.
Json PutBytes(const std::string& bytes) {
  return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}
std::string TakeBytes(const Json& json) {
  const auto& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

Json Put(const RequestShape& shape) {
  return Json::array({PutBytes(shape.service_), PutBytes(shape.organisation_),
                      PutBytes(shape.model_), PutBytes(shape.method_),
                      PutBytes(shape.path_), PutBytes(shape.domain_),
                      PutEnum(shape.priority_),
                      PutBytes(shape.idempotency_key_)});
}
void Take(const Json& json, RequestShape& shape) {
  shape.service_ = TakeBytes(json.at(0));
  shape.organisation_ = TakeBytes(json.at(1));
  shape.model_ = TakeBytes(json.at(2));
  shape.method_ = TakeBytes(json.at(3));
  shape.path_ = TakeBytes(json.at(4));
  shape.domain_ = TakeBytes(json.at(5));
  shape.priority_ = TakeEnum<Priority>(json.at(6));
  shape.idempotency_key_ = TakeBytes(json.at(7));
}

Json Put(const PlainAnswer& answer) {
  return Json::array(
      {answer.status_, PutBytes(answer.content_type_), PutBytes(answer.body_)});
}
void Take(const Json& json, PlainAnswer& answer) {
  answer.status_ = json.at(0).get<int>();
  answer.content_type_ = TakeBytes(json.at(1));
  answer.body_ = TakeBytes(json.at(2));
}

Json Put(const SeatRecord& row) {
  return Json::array(
      {row.key_, PutEnum(row.state_), Put(row.answer_), row.answer_kept_});
}
void Take(const Json& json, SeatRecord& row) {
  row.key_ = json.at(0).get<std::string>();
  row.state_ = TakeEnum<CallState>(json.at(1));
  Take(json.at(2), row.answer_);
  row.answer_kept_ = json.at(3).get<bool>();
}

Json PutIds(const std::vector<RequestId>& ids) {
  return PutRows(ids);
}

// --- the bodies, in the order of the variant

Json Put(const Gossip& m) {
  return Json::array({PutRows(m.rows_)});
}
void Take(const Json& json, Gossip& m) {
  TakeRows(json.at(0), m.rows_);
}

Json Put(const ConfigurationRequest& m) {
  return Json::array({m.have_revision_});
}
void Take(const Json& json, ConfigurationRequest& m) {
  m.have_revision_ = json.at(0).get<std::uint64_t>();
}

Json Put(const ConfigurationBody& m) {
  return Json::array({m.revision_, PutBytes(m.text_)});
}
void Take(const Json& json, ConfigurationBody& m) {
  m.revision_ = json.at(0).get<std::uint64_t>();
  m.text_ = TakeBytes(json.at(1));
}

Json Put(const ListRequest& m) {
  return Json::array({m.have_version_.revision_, m.have_version_.era_});
}
void Take(const Json& json, ListRequest& m) {
  m.have_version_ = {TakeEra(json, 1), json.at(0).get<std::uint64_t>()};
}

Json Put(const ListBody& m) {
  return Json::array({m.version_.revision_, PutRows(m.servers_),
                      PutRows(m.entries_), m.version_.era_});
}
void Take(const Json& json, ListBody& m) {
  m.version_ = {TakeEra(json, 3), json.at(0).get<std::uint64_t>()};
  TakeRows(json.at(1), m.servers_);
  TakeRows(json.at(2), m.entries_);
}

Json Put(const LeaseRequest& m) {
  return Json::array({m.cell_, Put(m.need_), m.time_left_.count()});
}
void Take(const Json& json, LeaseRequest& m) {
  m.cell_ = json.at(0).get<std::string>();
  Take(json.at(1), m.need_);
  const auto left = json.at(2).get<std::int64_t>();
  constexpr std::int64_t kMostMs = 3'600'000;
  m.time_left_ = Milliseconds(std::clamp<std::int64_t>(left, 0, kMostMs));
}

Json Put(const LeaseQueued& m) {
  return Json::array({Put(m.request_), Put(m.digest_)});
}
void Take(const Json& json, LeaseQueued& m) {
  Take(json.at(0), m.request_);
  Take(json.at(1), m.digest_);
}

Json Put(const LeaseGrant& m) {
  return Json::array({Put(m.request_), Put(m.placement_), Put(m.digest_)});
}
void Take(const Json& json, LeaseGrant& m) {
  Take(json.at(0), m.request_);
  Take(json.at(1), m.placement_);
  Take(json.at(2), m.digest_);
}

Json Put(const LeaseRefusal& m) {
  return Json::array({Put(m.request_), PutEnum(m.reason_),
                      m.retry_after_.count(), Put(m.digest_), m.max_pieces_});
}
void Take(const Json& json, LeaseRefusal& m) {
  Take(json.at(0), m.request_);
  m.reason_ = TakeEnum<Reason>(json.at(1));
  m.retry_after_ = Milliseconds(json.at(2).get<std::int64_t>());
  Take(json.at(3), m.digest_);
  m.max_pieces_ = json.at(4).get<std::uint32_t>();
}

Json Put(const LeaseRelease& m) {
  return Json::array({Put(m.request_), m.cell_, m.decode_, m.server_failed_});
}
void Take(const Json& json, LeaseRelease& m) {
  Take(json.at(0), m.request_);
  m.cell_ = json.at(1).get<std::string>();
  m.decode_ = json.at(2).get<std::string>();
  m.server_failed_ = json.at(3).get<bool>();
}

Json Put(const OwnerQuery& m) {
  return Json::array({m.server_, PutIds(m.requests_)});
}
void Take(const Json& json, OwnerQuery& m) {
  m.server_ = json.at(0).get<std::string>();
  TakeRows(json.at(1), m.requests_);
}

Json Put(const OwnerAnswer& m) {
  return Json::array({m.server_, PutIds(m.denied_)});
}
void Take(const Json& json, OwnerAnswer& m) {
  m.server_ = json.at(0).get<std::string>();
  TakeRows(json.at(1), m.denied_);
}

Json Put(const CallForward& m) {
  return Json::array({Put(m.request_), Put(m.shape_), PutBytes(m.content_type_),
                      PutBytes(m.body_)});
}
void Take(const Json& json, CallForward& m) {
  Take(json.at(0), m.request_);
  Take(json.at(1), m.shape_);
  m.content_type_ = TakeBytes(json.at(2));
  m.body_ = TakeBytes(json.at(3));
}

Json Put(const CallAnswer& m) {
  return Json::array({Put(m.request_), PutEnum(m.run_state_),
                      PutEnum(m.reason_), m.has_answer_, m.repeated_,
                      Put(m.answer_), m.server_, m.key_unused_,
                      m.decided_by_ledger_});
}
void Take(const Json& json, CallAnswer& m) {
  Take(json.at(0), m.request_);
  m.run_state_ = TakeEnum<RunState>(json.at(1));
  m.reason_ = TakeEnum<Reason>(json.at(2));
  m.has_answer_ = json.at(3).get<bool>();
  m.repeated_ = json.at(4).get<bool>();
  Take(json.at(5), m.answer_);
  m.server_ = json.at(6).get<std::string>();
  m.key_unused_ = json.at(7).get<bool>();
  m.decided_by_ledger_ = json.at(8).get<bool>();
}

Json Put(const SeatHandover& m) {
  return Json::array({m.seat_, m.interval_.from_.time_since_epoch().count(),
                      m.interval_.until_.time_since_epoch().count(),
                      PutRows(m.records_)});
}
void Take(const Json& json, SeatHandover& m) {
  m.seat_ = json.at(0).get<std::string>();
  m.interval_.from_ = WallTime(Milliseconds(json.at(1).get<std::int64_t>()));
  m.interval_.until_ = WallTime(Milliseconds(json.at(2).get<std::int64_t>()));
  TakeRows(json.at(3), m.records_);
}

Json Put(const SeatHandoverRequest& m) {
  return Json::array({m.seat_});
}
void Take(const Json& json, SeatHandoverRequest& m) {
  m.seat_ = json.at(0).get<std::string>();
}

Json Put(const ServerUse& row) {
  return Json::array({row.server_, row.held_tokens_});
}
void Take(const Json& json, ServerUse& row) {
  row.server_ = json.at(0).get<std::string>();
  row.held_tokens_ = json.at(1).get<std::uint32_t>();
}

Json Put(const EngineUseReport& m) {
  return Json::array({m.counter_, PutRows(m.servers_)});
}
void Take(const Json& json, EngineUseReport& m) {
  m.counter_ = json.at(0).get<std::uint64_t>();
  TakeRows(json.at(1), m.servers_);
}

Json Put(const CrashSuspect& row) {
  return Json::array({row.server_, row.incarnation_, row.age_.count(),
                      row.confirmed_, row.parts_});
}
void Take(const Json& json, CrashSuspect& row) {
  row.server_ = json.at(0).get<std::string>();
  row.incarnation_ = json.at(1).get<Incarnation>();
  row.age_ = Milliseconds(json.at(2).get<std::int64_t>());
  row.confirmed_ = json.at(3).get<bool>();
  row.parts_ = json.at(4).get<PromptParts>();
}

Json Put(const HarmlessPart& row) {
  return Json::array({row.part_, row.age_.count()});
}
void Take(const Json& json, HarmlessPart& row) {
  row.part_ = json.at(0).get<std::uint64_t>();
  row.age_ = Milliseconds(json.at(1).get<std::int64_t>());
}

Json Put(const QuarantinedParts& row) {
  return Json::array({row.parts_, row.crashes_, row.age_.count()});
}
void Take(const Json& json, QuarantinedParts& row) {
  row.parts_ = json.at(0).get<PromptParts>();
  row.crashes_ = json.at(1).get<std::uint32_t>();
  row.age_ = Milliseconds(json.at(2).get<std::int64_t>());
}

Json Put(const QuarantineReport& m) {
  return Json::array(
      {PutRows(m.suspects_), PutRows(m.harmless_), PutRows(m.quarantined_)});
}
void Take(const Json& json, QuarantineReport& m) {
  TakeRows(json.at(0), m.suspects_);
  TakeRows(json.at(1), m.harmless_);
  TakeRows(json.at(2), m.quarantined_);
}

Json Put(const QuotaAskRow& row) {
  return Json::array({row.organisation_, row.want_ppm_, row.want_milli_,
                      row.share_ppm_, row.demand_ppm_});
}
void Take(const Json& json, QuotaAskRow& row) {
  row.organisation_ = json.at(0).get<std::uint64_t>();
  row.want_ppm_ = json.at(1).get<std::uint32_t>();
  row.want_milli_ = json.at(2).get<std::int64_t>();
  row.share_ppm_ = json.at(3).get<std::uint32_t>();
  row.demand_ppm_ = json.at(4).get<std::uint32_t>();
}

// Terms stay far from the limits of a duration.
Milliseconds TakeTerm(const Json& json) {
  constexpr std::int64_t kMostMs = 3'600'000;
  return Milliseconds(
      std::clamp<std::int64_t>(json.get<std::int64_t>(), 0, kMostMs));
}

Json Put(const QuotaAsk& m) {
  return Json::array({m.number_, m.term_.count(), PutRows(m.rows_)});
}
void Take(const Json& json, QuotaAsk& m) {
  m.number_ = json.at(0).get<std::uint64_t>();
  m.term_ = TakeTerm(json.at(1));
  TakeRows(json.at(2), m.rows_);
}

Json Put(const QuotaLoanRow& row) {
  return Json::array({row.organisation_, row.share_ppm_, row.term_.count(),
                      row.tokens_milli_});
}
void Take(const Json& json, QuotaLoanRow& row) {
  row.organisation_ = json.at(0).get<std::uint64_t>();
  row.share_ppm_ = json.at(1).get<std::uint32_t>();
  row.term_ = TakeTerm(json.at(2));
  row.tokens_milli_ = json.at(3).get<std::int64_t>();
}

Json Put(const QuotaLoan& m) {
  return Json::array(
      {m.number_, m.to_incarnation_, PutRows(m.rows_), m.holds_no_earlier_});
}
void Take(const Json& json, QuotaLoan& m) {
  m.number_ = json.at(0).get<std::uint64_t>();
  m.to_incarnation_ = json.at(1).get<Incarnation>();
  TakeRows(json.at(2), m.rows_);
  m.holds_no_earlier_ = json.at(3).get<bool>();
}

Json Put(const QuotaReturnRow& row) {
  return Json::array({row.organisation_, row.tokens_milli_});
}
void Take(const Json& json, QuotaReturnRow& row) {
  row.organisation_ = json.at(0).get<std::uint64_t>();
  row.tokens_milli_ = json.at(1).get<std::int64_t>();
}

Json Put(const QuotaReturn& m) {
  return Json::array({m.number_, PutRows(m.rows_)});
}
void Take(const Json& json, QuotaReturn& m) {
  m.number_ = json.at(0).get<std::uint64_t>();
  TakeRows(json.at(1), m.rows_);
}

Json Put(const VoteRequest& m) {
  return Json::array({PutEnum(m.round_), m.candidate_});
}
void Take(const Json& json, VoteRequest& m) {
  m.round_ = TakeEnum<VoteRound>(json.at(0));
  m.candidate_ = json.at(1).get<std::string>();
}

Json Put(const VoteReply& m) {
  return Json::array({PutEnum(m.round_), PutEnum(m.vote_), m.voter_, m.seeds_});
}
void Take(const Json& json, VoteReply& m) {
  m.round_ = TakeEnum<VoteRound>(json.at(0));
  m.vote_ = TakeEnum<Vote>(json.at(1));
  m.voter_ = json.at(2).get<std::string>();
  m.seeds_ = json.at(3).get<std::vector<std::string>>();
}

Json Put(const StreamReport& m) {
  return Json::array({m.version_, m.streams_});
}
void Take(const Json& json, StreamReport& m) {
  m.version_ = json.at(0).get<std::string>();
  TakeRows(json.at(1), m.streams_);
}

Json Put(const StreamQuery& m) {
  return Json::array({m.stream_});
}
void Take(const Json& json, StreamQuery& m) {
  m.stream_ = json.at(0).get<std::uint32_t>();
}

Json Put(const StreamReply& m) {
  return Json::array({m.stream_, m.known_, m.version_});
}
void Take(const Json& json, StreamReply& m) {
  m.stream_ = json.at(0).get<std::uint32_t>();
  m.known_ = json.at(1).get<bool>();
  m.version_ = json.at(2).get<std::string>();
}

template <std::size_t Index = 0>
PeerBody TakeBody(std::size_t kind, const Json& json) {
  if constexpr (Index < std::variant_size_v<PeerBody>) {
    if (kind == Index) {
      std::variant_alternative_t<Index, PeerBody> body;
      Take(json, body);
      return body;
    }
    return TakeBody<Index + 1>(kind, json);
  } else {
    throw Json::other_error::create(501, "unknown kind of message", &json);
  }
}

}  // namespace

std::string Encode(const PeerMessage& message) {
  const Json body =
      std::visit([](const auto& m) { return Put(m); }, message.body_);
  const Json json =
      Json::array({kProtocolVersion, message.from_, message.from_incarnation_,
                   message.body_.index(), body});
  std::string bytes;
  Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

tl::expected<PeerMessage, std::string> Decode(const std::string& bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return tl::unexpected(std::string("message is too long"));
  }
  ShapeGuard guard;
  if (!Json::sax_parse(bytes, &guard, Json::input_format_t::cbor)) {
    return tl::unexpected(std::string("message is not well-formed"));
  }
  try {
    const Json json = Json::from_cbor(bytes);
    if (!json.is_array() || json.size() != 5) {
      return tl::unexpected(std::string("message has a wrong shape"));
    }
    if (json[0] != kProtocolVersion) {
      return tl::unexpected(std::string("message has another version"));
    }
    PeerMessage message;
    message.from_ = json[1].get<std::string>();
    message.from_incarnation_ = json[2].get<std::uint64_t>();
    message.body_ = TakeBody(json[3].get<std::size_t>(), json[4]);
    return message;
  } catch (const Json::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

}  // namespace siskindrum::peer
