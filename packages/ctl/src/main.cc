// The operators' command line: siskindrumctl COMMAND ...

#include <iostream>
#include <string>

#include "commands_p.h"

namespace {

using siskindrum::ctl::Arguments;

struct Command {
  const char* name_;
  int (*run_)(const Arguments&);
  const char* help_;
};

constexpr Command kCommands[] = {
    {"check", siskindrum::ctl::CheckCommand, "check a rules file"},
    {"explain", siskindrum::ctl::ExplainCommand,
     "tell which line decides a request, and why it went where it went"},
    {"where", siskindrum::ctl::WhereCommand,
     "tell where a request would go now, without sending it"},
    {"dump", siskindrum::ctl::DumpCommand, "print the state of an entry"},
    {"status", siskindrum::ctl::StatusCommand, "show entries in one table"},
    {"key", siskindrum::ctl::KeyCommand, "make an Idempotency-Key"},
    {"experiment", siskindrum::ctl::ExperimentCommand,
     "try policies on a scenario, on virtual time"},
    {"load", siskindrum::ctl::LoadCommand,
     "send completions to entries on this machine and measure"},
    {"cost", siskindrum::ctl::CostCommand, "measure what a decision costs"},
};

void PrintHelp(std::ostream& out) {
  out << "usage: siskindrumctl COMMAND [--help]\n";
  for (const Command& command : kCommands) {
    out << "  " << command.name_ << ": " << command.help_ << "\n";
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  if (name == "--help") {
    PrintHelp(std::cout);
    return 0;
  }
  if (name == "--version") {
    std::cout << "siskindrumctl 0.1.0\n";
    return 0;
  }
  for (const Command& command : kCommands) {
    if (name == command.name_) {
      return command.run_(Arguments(argv + 2, argv + argc));
    }
  }
  std::cerr << (name.empty() ? "a command is needed"
                             : "unknown command " + name)
            << "\n";
  PrintHelp(std::cerr);
  return 2;
}
