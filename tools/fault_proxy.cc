#include "fault_proxy.h"

#include <boost/asio/post.hpp>
#include <future>

namespace cicadaward {

FaultProxy::FaultProxy(uint64_t seed, LinkDelays delays)
    : m_work(boost::asio::make_work_guard(m_context))
    , m_seed(seed)
    , m_delays(delays)
{
}

FaultProxy::~FaultProxy()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void FaultProxy::add(const Link& link, Endpoint listen, Endpoint target)
{
    Entry entry;
    entry.link = link;
    uint64_t seed = m_seed + m_links.size();
    if (link.kind == LinkKind::Packets) {
        entry.udp = std::make_unique<UdpRelay>(m_context, listen, target, seed);
        m_status.Update(entry.udp->status());
        entry.udp->change(settingsOf(link));
    } else {
        entry.tcp = std::make_unique<TcpRelay>(m_context, listen, target, seed);
        m_status.Update(entry.tcp->status());
        entry.tcp->change(settingsOf(link));
    }
    m_links.push_back(std::move(entry));
}

void FaultProxy::start()
{
    m_thread = std::thread([this] { m_context.run(); });
}

void FaultProxy::cut(const std::string& process, CutDirection direction)
{
    change([&] { m_cutProcesses[process] = direction; });
}

void FaultProxy::heal(const std::string& process)
{
    change([&] { m_cutProcesses.erase(process); });
}

void FaultProxy::cutDataCentre(const std::string& name)
{
    change([&] { m_cutDataCentres.insert(name); });
}

void FaultProxy::healDataCentre(const std::string& name)
{
    change([&] { m_cutDataCentres.erase(name); });
}

void FaultProxy::setPacketFaults(const PacketFaults& faults)
{
    change([&] { m_packetFaults = faults; });
}

void FaultProxy::setExtraDelay(Duration delay)
{
    change([&] { m_extraDelay = delay; });
}

void FaultProxy::change(const std::function<void()>& change)
{
    std::promise<void> done;
    boost::asio::post(m_context, [&] {
        change();
        for (Entry& entry : m_links) {
            if (entry.udp)
                entry.udp->change(settingsOf(entry.link));
            else
                entry.tcp->change(settingsOf(entry.link));
        }
        done.set_value();
    });
    done.get_future().wait();
}

Duration FaultProxy::delayOf(const Link& link) const
{
    if (link.fromDataCentre == link.toDataCentre)
        return Duration(0);
    bool toCallers = link.fromDataCentre.empty() || link.toDataCentre.empty();
    return (toCallers ? m_delays.toCallers : m_delays.betweenDataCentres) + m_extraDelay;
}

void FaultProxy::applyProcessCuts(const Link& link, FaultSettings& settings) const
{
    if (link.kind != LinkKind::Control)
        return;
    for (const auto& [process, direction] : m_cutProcesses) {
        bool isFrom = link.from == process;
        if (!isFrom && link.to != process)
            continue;
        bool out = direction != CutDirection::In;
        bool in = direction != CutDirection::Out;
        settings.cutForward |= isFrom ? out : in;
        settings.cutBackward |= isFrom ? in : out;
    }
}

FaultSettings FaultProxy::settingsOf(const Link& link) const
{
    FaultSettings settings;
    settings.delay = delayOf(link);
    if (link.kind == LinkKind::Packets) {
        settings.loss = m_packetFaults.loss;
        settings.duplication = m_packetFaults.duplication;
        settings.reordering = m_packetFaults.reordering;
    }
    applyProcessCuts(link, settings);
    bool crossesCutBorder = link.fromDataCentre != link.toDataCentre
        && m_cutDataCentres.count(link.fromDataCentre) + m_cutDataCentres.count(link.toDataCentre) > 0;
    if (crossesCutBorder)
        settings.cutForward = settings.cutBackward = true;
    return settings;
}

} // namespace cicadaward
