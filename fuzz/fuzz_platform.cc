// What the platform's store and settings file may hold, whoever wrote it.

#include <cstdint>
#include <cstdlib>
#include <string>

#include "dialect.h"
#include "documents.h"
#include "settings.h"
#include "siskindrum/rules/rules.h"
#include "store_answer.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto document = siskindrum::adapter::ParseConfiguration(text);
  if (document.has_value()) {
    // What the adapter writes must be a rules file that the product takes.
    const auto made = siskindrum::rules::MakeConfiguration(document->version_,
                                                           document->rules_);
    if (!made.has_value()) {
      std::abort();
    }
  }
  (void)siskindrum::adapter::ReadListedKeys(text);
  (void)siskindrum::adapter::ParseServer("i-1", text);
  (void)siskindrum::adapter::ReadStoreAnswer(text, "items");
  (void)siskindrum::adapter::ParseSettings(text);
  (void)siskindrum::adapter::MakeDialect().read_prefill_(text);
  (void)siskindrum::adapter::MakeDialect().read_reservation_(text);
  (void)siskindrum::adapter::MakeDialect().read_prompt_list_(text);
  (void)siskindrum::adapter::MakeDialect().read_run_list_(text);
  return 0;
}
