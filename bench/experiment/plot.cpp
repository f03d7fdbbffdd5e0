#include "bench/experiment/plot.hpp"

#include "bench/experiment/format.hpp"

#include <array>
#include <sstream>

namespace snipestall::policy::experiment {

namespace {

constexpr int Width = 980;
constexpr int PanelHeight = 250;
constexpr int BarsHeight = 160;
constexpr int Left = 50;
constexpr int Top = 40;
constexpr int BarGap = 2;
constexpr std::array<const char *, 4> Colours { "#1b6ca8", "#b0b0b0", "#d9a441", "#8a5a83" };

std::string text(int x, int y, const std::string &content, const char *anchor = "start")
{
    std::ostringstream out;
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << content
        << "</text>\n";
    return out.str();
}

std::string bar(int x, int bottom, int width, double share, const char *colour)
{
    const int height = static_cast<int>(share * BarsHeight);
    std::ostringstream out;
    out << "<rect x=\"" << x << "\" y=\"" << bottom - height << "\" width=\"" << width
        << "\" height=\"" << height << "\" fill=\"" << colour << "\"><title>" << percent(share)
        << "</title></rect>\n";
    return out.str();
}

std::string axis(int bottom)
{
    std::ostringstream out;
    for (const int percentage : { 0, 50, 90, 100 }) {
        const int y = bottom - percentage * BarsHeight / 100;
        out << "<line x1=\"" << Left << "\" y1=\"" << y << "\" x2=\"" << Width - 10 << "\" y2=\""
            << y << "\" stroke=\"#ddd\"/>\n"
            << text(Left - 6, y + 4, std::to_string(percentage) + "%", "end");
    }
    return out.str();
}

std::string legend(const std::vector<std::string> &names)
{
    std::ostringstream out;
    int x = Left;
    for (std::size_t i = 0; i < names.size(); ++i) {
        out << "<rect x=\"" << x << "\" y=\"10\" width=\"12\" height=\"12\" fill=\""
            << Colours.at(i % Colours.size()) << "\"/>\n"
            << text(x + 18, 20, names[i]);
        x += 180;
    }
    return out.str();
}

std::string panel(const Results &results, const std::string &deployment, int top)
{
    const int bottom = top + Top + BarsHeight;
    const auto names = results.contestants();
    const int groupWidth = (Width - Left - 10) / static_cast<int>(results.conditions.size());
    const int barWidth = groupWidth / (static_cast<int>(names.size()) + 1) - BarGap;
    std::ostringstream out;
    out << text(Left, top + 25, deployment + ": urgent requests in target") << axis(bottom);
    int x = Left + barWidth / 2;
    for (const auto &condition : results.conditions) {
        for (std::size_t i = 0; i < names.size(); ++i) {
            const double share =
                results.measurementOf(deployment, condition.name, names[i]).shareInTarget("urgent");
            const int offset = static_cast<int>(i) * (barWidth + BarGap);
            out << bar(x + offset, bottom, barWidth, share, Colours.at(i % Colours.size()));
        }
        out << text(x + groupWidth * 2 / 5, bottom + 18, condition.name, "middle");
        x += groupWidth;
    }
    return out.str();
}

} // namespace

std::string plot(const Results &results)
{
    const auto deployments = results.deployments();
    const int height = Top + PanelHeight * static_cast<int>(deployments.size());
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << legend(results.contestants());
    int top = Top / 2;
    for (const auto &deployment : deployments) {
        out << panel(results, deployment, top);
        top += PanelHeight;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace snipestall::policy::experiment
