#include "bench/experiment/format.hpp"

#include <iomanip>
#include <sstream>

namespace snipestall::policy::experiment {

namespace {

std::string fixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

} // namespace

std::string percent(double fraction)
{
    return fixed(fraction * 100, 1) + "%";
}

std::string thousands(double count)
{
    return fixed(count / 1000, 1) + "k";
}

std::string decimal(double value)
{
    return fixed(value, 2);
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace snipestall::policy::experiment
