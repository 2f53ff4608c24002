// The command line: sub-commands and their options.
#pragma once

namespace linenwinch::app {

int run_command_line(int argc, char** argv);

}  // namespace linenwinch::app
