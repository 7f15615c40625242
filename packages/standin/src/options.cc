#include "siskindrum/standin/options.h"

#include <iostream>

namespace siskindrum::standin {

namespace po = boost::program_options;

bool ParseOptions(int argc,
                  char** argv,
                  const po::options_description& description,
                  int* exit_code) {
  constexpr int kUsage = 2;
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout << description;
      *exit_code = 0;
      return false;
    }
    po::notify(values);
    return true;
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    *exit_code = kUsage;
    return false;
  }
}

}  // namespace siskindrum::standin
