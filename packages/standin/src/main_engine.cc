// Stand-in for a model engine: standin_engine --port N [--slots N ...].

#include <cstdio>
#include <iostream>

#include <boost/program_options.hpp>

#include "siskindrum/standin/engine_server.h"
#include "siskindrum/standin/options.h"

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  siskindrum::standin::EngineServerOptions options;
  std::int64_t lag_ms = 0;
  std::int64_t step_base_us = 18000;
  std::int64_t step_stream_us = 1000;
  std::int64_t evict_ms = 800;
  auto& engine = options.engine_;
  po::options_description description("Stand-in for a model engine");
  description.add_options()("help", "show this text")(
      "port", po::value(&options.port_)->required(), "port on 127.0.0.1")(
      "slots", po::value(&engine.slots_), "decode slots")(
      "pieces", po::value(&engine.total_pieces_), "memory pieces")(
      "threads", po::value(&options.threads_), "HTTP threads")(
      "prefill-rate", po::value(&engine.prefill_tokens_per_second_),
      "prefill tokens a second")("link-rate",
                                 po::value(&engine.link_tokens_per_second_),
                                 "tokens a second over the export link")(
      "step-base-us", po::value(&step_base_us), "fixed part of a step")(
      "step-stream-us", po::value(&step_stream_us), "part for each stream")(
      "evict-ms", po::value(&evict_ms), "life of a prefill result")(
      "lag-ms", po::value(&lag_ms), "age of reported load");
  int exit_code = 0;
  if (!siskindrum::standin::ParseOptions(argc, argv, description, &exit_code)) {
    return exit_code;
  }
  options.load_lag_ = siskindrum::core::Milliseconds(lag_ms);
  engine.step_base_ = std::chrono::microseconds(step_base_us);
  engine.step_per_stream_ = std::chrono::microseconds(step_stream_us);
  engine.evict_after_ = std::chrono::milliseconds(evict_ms);
  siskindrum::standin::EngineServer server(options);
  if (!server.Serve()) {
    std::cerr << "port " << options.port_ << " is taken\n";
    return 1;
  }
  return 0;
}
