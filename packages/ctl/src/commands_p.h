#ifndef SISKINDRUM_CTL_COMMANDS_P_H_
#define SISKINDRUM_CTL_COMMANDS_P_H_

#include <string>
#include <vector>

#include <boost/program_options.hpp>

namespace siskindrum::ctl {

using Arguments = std::vector<std::string>;

inline constexpr int kExitGood = 0;
inline constexpr int kExitBad = 1;    // The thing asked about is bad.
inline constexpr int kExitUsage = 2;  // The command was given wrongly.

// Parses options; false after printing what is wrong, or the help, with the
// exit code to end with.
bool ParseOptions(
    const Arguments& arguments,
    const boost::program_options::options_description& description,
    const boost::program_options::positional_options_description& positional,
    boost::program_options::variables_map* values,
    int* exit_code);

// Each runs one command and returns the exit code of the process.
int CheckCommand(const Arguments& arguments);
int ExplainCommand(const Arguments& arguments);
int WhereCommand(const Arguments& arguments);
int DumpCommand(const Arguments& arguments);
int StatusCommand(const Arguments& arguments);
int KeyCommand(const Arguments& arguments);
int ExperimentCommand(const Arguments& arguments);
int LoadCommand(const Arguments& arguments);
int CostCommand(const Arguments& arguments);

}  // namespace siskindrum::ctl

#endif  // SISKINDRUM_CTL_COMMANDS_P_H_
