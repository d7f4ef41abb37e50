#include "io/operator/operator_command.hpp"

auto main(int argc, char** argv) -> int
{
    return briardrum::run_operator(argc, argv);
}
