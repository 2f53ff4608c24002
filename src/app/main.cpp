#include "app/commands.h"

int main(int argc, char** argv) { return database_proxy::app::run_command_line(argc, argv); }
