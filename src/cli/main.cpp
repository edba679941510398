#include "cli/command.hpp"

#include <iostream>
#include <vector>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(yuccashift::cli::runCommand(arguments, { std::cout, std::cerr }));
}
