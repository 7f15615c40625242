#ifndef SISKINDRUM_STANDIN_OPTIONS_H_
#define SISKINDRUM_STANDIN_OPTIONS_H_

#include <boost/program_options.hpp>

namespace siskindrum::standin {

// Parses the command line of a stand-in; false after printing what is wrong, or
// the help, with the exit code to end with.
bool ParseOptions(
    int argc,
    char** argv,
    const boost::program_options::options_description& description,
    int* exit_code);

}  // namespace siskindrum::standin

#endif  // SISKINDRUM_STANDIN_OPTIONS_H_
