// The lab's command line: sub-commands and their options.
#pragma once

namespace linenwinch::lab {

int run_command_line(int argc, char** argv);

}  // namespace linenwinch::lab
