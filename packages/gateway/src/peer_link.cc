#include "peer_link_p.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "siskindrum/http/endpoint.h"
#include "siskindrum/peer/codec.h"
#include "siskindrum/rules/rules.h"

namespace siskindrum::gateway {

PeerLink::PeerLink(PeerLinkOptions options, PeerLinkHandlers handlers)
    : options_(std::move(options)), handlers_(std::move(handlers)) {}

tl::expected<void, std::string> PeerLink::Start() {
  if (options_.address_.empty()) {
    return {};
  }
  const auto endpoint = http::ParseEndpoint(options_.address_);
  if (!endpoint.has_value()) {
    return tl::unexpected(absl::StrCat("peers address: expected ip:port, got ",
                                       options_.address_));
  }
  node_ = std::make_unique<peer::Node>(
      peer::NodeOptions{endpoint->address().to_string(), endpoint->port(),
                        options_.fleet_},
      peer::NodeHandlers{
          [this](const std::string& bytes) { return OnMessage(bytes); },
          // Failed messages are not resent: the next periodic round of messages
          // replaces them.
          [](std::uint64_t, const core::Verdict&) {}, handlers_.log_});
  auto started = node_->Start();
  running_ = started.has_value();
  return started;
}

void PeerLink::Stop() {
  if (running_.exchange(false)) {
    node_->Stop(core::Milliseconds(0));
  }
}

void PeerLink::Send(const dispatch::SendPeerMessage& send) {
  if (running_ && !node_->Send(send.address_, peer::Encode(send.message_), 0)) {
    handlers_.log_({"peer_ring_full", {{"address", send.address_}}});
  }
}

peer::NodeCounters PeerLink::Counters() const {
  return node_ == nullptr ? peer::NodeCounters{} : node_->Counters();
}

bool PeerLink::OnMessage(const std::string& bytes) {
  auto message = peer::Decode(bytes);
  if (!message.has_value()) {
    handlers_.log_({"peer_message_unreadable", {{"error", message.error()}}});
    return false;
  }
  const auto* body = std::get_if<core::ConfigurationBody>(&message->body_);
  if (body == nullptr) {
    handlers_.post_(dispatch::PeerMessageReceived{std::move(*message)});
    return true;
  }
  auto configuration = rules::MakeConfiguration(body->revision_, body->text_);
  if (!configuration.has_value()) {
    handlers_.log_({"configuration_refused",
                    {{"revision", std::to_string(body->revision_)},
                     {"source", message->from_},
                     {"error", configuration.error()}}});
    return false;
  }
  handlers_.post_(dispatch::ConfigurationRead{*configuration, message->from_});
  return true;
}

}  // namespace siskindrum::gateway
