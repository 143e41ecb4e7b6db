// cicadawardctl: the operators' command line; see ctl_options.h and commands.h.

#include "commands.h"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace cicadaward;
    auto parsed = parseCtlOptions(argc, argv, std::cout, std::cerr);
    if (const CtlExit* code = std::get_if<CtlExit>(&parsed))
        return static_cast<int>(*code);
    return static_cast<int>(Commands(std::get<CtlOptions>(parsed), std::cout, std::cerr).run());
}
