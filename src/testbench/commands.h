// Command line of the testbench: subcommands and their options.
#pragma once

namespace database_proxy::testbench {

// Runs the subcommand that the arguments name and returns the exit code of the process.
int run_command_line(int argc, char** argv);

}  // namespace database_proxy::testbench
