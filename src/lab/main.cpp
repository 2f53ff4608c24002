#include "lab/commands.h"

int main(int argc, char** argv) { return linenwinch::lab::run_command_line(argc, argv); }
