#include <iterator>

#include "dispatcher_p.h"

namespace siskindrum::dispatch {

void QueryRetainedPrompts(Step& step) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (!dispatcher.options_.restarted_ || !dispatcher.list_read_ ||
      dispatcher.retained_prompt_queries_ ==
          std::size(kRetainedPromptQueryTimes)) {
    return;
  }
  if (dispatcher.retained_prompt_queries_ == 0) {
    dispatcher.first_prompt_query_ = step.now_;
  }
  if (step.now_ - dispatcher.first_prompt_query_ <
      kRetainedPromptQueryTimes[dispatcher.retained_prompt_queries_]) {
    return;
  }
  const bool is_first = dispatcher.retained_prompt_queries_++ == 0;
  for (const auto& [name, server] : dispatcher.pool_.servers_) {
    if (server.info_.role_ != core::ServerRole::kPlain &&
        !IsPaused(dispatcher.pool_, server, step.now_)) {
      dispatcher.streams_.retained_[name].asked_at_ = step.now_;
      step.actions_.emplace_back(ListRetainedPrompts{
          name, server.info_.address_, server.info_.incarnation_});
      if (is_first) {
        QueryRuns(step, server);
      }
    }
  }
}

void OnRetainedPrompts(Step& step, const RetainedPromptsListed& event) {
  Dispatcher& dispatcher = step.dispatcher_;
  const ServerState* server = FindServer(dispatcher.pool_, event.server_);
  if (server == nullptr) {
    return;
  }
  for (const std::uint64_t prompt : event.prompts_) {
    dispatcher.retained_prompts_[prompt] = server->info_.address_;
  }
  RecordRetainedPrompts(step, event);
  step.actions_.emplace_back(
      core::LogEvent{"prompts_kept",
                     {{"server", event.server_},
                      {"prompts", std::to_string(event.prompts_.size())}}});
}

void UseRetainedPrompt(Step& step, ActiveCall& call) {
  Dispatcher& dispatcher = step.dispatcher_;
  if (step.now_ - dispatcher.first_prompt_query_ > kRetainedPromptLifetime) {
    dispatcher.retained_prompts_.clear();
    return;
  }
  const auto found = dispatcher.retained_prompts_.find(call.call_.prompt_);
  if (found == dispatcher.retained_prompts_.end()) {
    return;
  }
  call.prompt_address_ = found->second;
  call.direct_ = true;
  step.actions_.emplace_back(core::LogEvent{
      "prompt_found",
      {{"request", call.call_.label_}, {"address", found->second}}});
  // Used for one retry only: the engine may have dropped the prompt before a
  // later one.
  dispatcher.retained_prompts_.erase(found);
}

}  // namespace siskindrum::dispatch
