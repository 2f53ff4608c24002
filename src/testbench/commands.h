// The lab's command line: sub-commands and their options.
#pragma once

namespace database_proxy::testbench {

int run_command_line(int argc, char** argv);

}  // namespace database_proxy::testbench
