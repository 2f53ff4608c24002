#include "testbench/commands.h"

int main(int argc, char** argv) { return database_proxy::testbench::run_command_line(argc, argv); }
