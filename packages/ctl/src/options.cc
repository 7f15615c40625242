#include <iostream>

#include "commands_p.h"

namespace siskindrum::ctl {

namespace po = boost::program_options;

bool ParseOptions(const Arguments& arguments,
                  const po::options_description& description,
                  const po::positional_options_description& positional,
                  po::variables_map* values,
                  int* exit_code) {
  try {
    po::store(po::command_line_parser(arguments)
                  .options(description)
                  .positional(positional)
                  .run(),
              *values);
    if (values->contains("help")) {
      std::cout << description;
      *exit_code = kExitGood;
      return false;
    }
    po::notify(*values);
    return true;
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n" << description;
    *exit_code = kExitUsage;
    return false;
  }
}

}  // namespace siskindrum::ctl
