#include "app/commands.h"

int main(int argc, char** argv) { return linenwinch::app::run_command_line(argc, argv); }
