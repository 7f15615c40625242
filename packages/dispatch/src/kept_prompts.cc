#include <iterator>

#include "dispatcher_p.h"

namespace siskindrum::dispatch {

void AskForKept(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (!dispatcher.options_.restarted_ || !dispatcher.list_read_ ||
      dispatcher.kept_asks_ == std::size(kKeptAskAfter)) {
    return;
  }
  if (dispatcher.kept_asks_ == 0) {
    dispatcher.kept_from_ = step.now_;
  }
  if (step.now_ - dispatcher.kept_from_ <
      kKeptAskAfter[dispatcher.kept_asks_]) {
    return;
  }
  ++dispatcher.kept_asks_;
  for (const auto& [name, server] : dispatcher.pool_.servers_) {
    if (server.info_.role_ != core::ServerRole::kPlain) {
      step.actions_.emplace_back(ListKept{name, server.info_.address_});
    }
  }
}

void OnKeptListed(Step& step, const KeptListed& event) {
  Dispatcher& dispatcher = step.dispatcher_;
  const ServerState* server = FindServer(dispatcher.pool_, event.server_);
  if (server == nullptr) {
    return;
  }
  for (const std::uint64_t prompt : event.prompts_) {
    dispatcher.kept_[prompt] = server->info_.address_;
  }
  step.actions_.emplace_back(
      core::LogEvent{"prompts_kept",
                     {{"server", event.server_},
                      {"prompts", std::to_string(event.prompts_.size())}}});
}

void UseKept(Step& step, ActiveCall& call) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (step.now_ - dispatcher.kept_from_ > kKeptTime) {
    dispatcher.kept_.clear();
    return;
  }
  const auto found = dispatcher.kept_.find(call.call_.prompt_);
  if (found == dispatcher.kept_.end()) {
    return;
  }
  call.read_address_ = found->second;
  call.direct_ = true;
  step.actions_.emplace_back(core::LogEvent{
      "prompt_found",
      {{"request", call.call_.label_}, {"address", found->second}}});
  // Used for one retry only: the engine may have dropped the prompt before a
  // later one.
  dispatcher.kept_.erase(found);
}

}  // namespace siskindrum::dispatch
