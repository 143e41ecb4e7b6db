#include "core/findings.h"

namespace cicadaward {

void Findings::add(Place place, std::string message)
{
    if (m_findings.size() < maxFindings)
        m_findings.push_back({ std::move(place), std::move(message) });
    else
        ++m_further;
}

std::string Findings::report() const
{
    std::string text;
    for (const Finding& finding : m_findings) {
        text += finding.place.source;
        if (finding.place.line > 0)
            text += ":" + std::to_string(finding.place.line);
        text += ": ";
        if (!finding.place.key.empty())
            text += finding.place.key + ": ";
        text += finding.message + "\n";
    }
    if (m_further > 0)
        text += "and " + std::to_string(m_further) + " further findings\n";
    return text;
}

absl::Status Findings::status() const
{
    if (m_findings.empty())
        return absl::OkStatus();
    return absl::InvalidArgumentError(report());
}

} // namespace cicadaward
