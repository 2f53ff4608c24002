// The command line: sub-commands and their options.
#pragma once

namespace database_proxy::app {

// Runs the sub-command that the arguments name. Returns the exit code of the process.
int run_command_line(int argc, char** argv);

}  // namespace database_proxy::app
