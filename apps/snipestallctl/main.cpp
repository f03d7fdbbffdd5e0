#include "command.hpp"
#include "flags.hpp"

#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace snipestall::ctl;
    try {
        const auto line = parseCommandLine(argc, argv);
        if (!line) {
            std::cerr << "snipestallctl: " << line.error().message << '\n';
            return static_cast<int>(ExitCode::BadInput);
        }
        return static_cast<int>(run(line->words, line->options, std::cout, std::cerr));
    } catch (const std::exception &unexpected) {
        std::cerr << "snipestallctl: " << unexpected.what() << '\n';
        return static_cast<int>(ExitCode::BadInput);
    }
}
