#include "ctl/Program.h"

#include <iostream>
#include <unistd.h>

int main(int argc, char **argv) {
  bool isTerminal = ::isatty(STDIN_FILENO) == 1;
  return briarspar::ctl::runProgram(argc, argv, {std::cin, std::cout, std::cerr, isTerminal});
}
