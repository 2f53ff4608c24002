// The command line: sub-commands and their options.
#pragma once

namespace database_proxy::app {

int run_command_line(int argc, char** argv);

}  // namespace database_proxy::app
