// Simpler agents with the same interface as the agents of this library, for comparison only.

#include "directory/bucket_table.h"
#include "flow/simulation_parts.h"

#include <algorithm>
#include <map>

namespace cicadaward::flow::simulation {

namespace {

    class LibraryAgent final : public SimulatedAgent {
    public:
        LibraryAgent(const AgentFlowsSettings& settings, TargetAdmission& admission, const Clock& clock, Random& random)
            : m_flows(settings, admission, clock, random)
        {
        }
        void handle(const AgentEvent& event, Actions& actions) override { m_flows.handle(event, actions); }
        const AgentFlows* machine() const override { return &m_flows; }

    private:
        AgentFlows m_flows;
    };

    // Common part: installs directories and forwards the target's packets to the callers.
    class BaselineAgent : public SimulatedAgent {
    public:
        BaselineAgent(const AgentFlowsSettings& settings, const Clock& clock, Random& random)
            : m_settings(settings)
            , m_clock(clock)
            , m_random(random)
        {
        }

        void handle(const AgentEvent& event, Actions& actions) override
        {
            if (const auto* received = std::get_if<DirectoryReceived>(&event)) {
                install(received->directory);
            } else if (const auto* target = std::get_if<TargetPacket>(&event)) {
                fromTarget(*target, actions);
            } else if (const auto* contact = std::get_if<ControlContact>(&event)) {
                if (!m_table || contact->latest > m_directory->version)
                    actions.add(RequestDirectory { contact->latest });
            } else if (const auto* tunnel = std::get_if<TunnelReceived>(&event)) {
                auto parsed = parseIpPacket(tunnel->bytes.data(), tunnel->bytes.size());
                if (m_table && tunnel->header.service == m_settings.service)
                    packet(tunnel->header, std::get<IpPacket>(parsed), tunnel->bytes, actions);
            }
        }

    protected:
        virtual void packet(const TunnelHeader& header, const IpPacket& packet, Bytes bytes, Actions& actions) = 0;
        virtual void fromTarget(const TargetPacket& event, Actions& actions)
        {
            actions.add(SendToCaller { event.packet });
        }

        void deliver(Bytes bytes, Actions& actions)
        {
            actions.add(DeliverPacket { PortMode::Flow, false, false, bytes });
        }
        void forwardTo(const TunnelHeader& header, const Member& to, TunnelKind kind, Bytes bytes, Actions& actions)
        {
            TunnelHeader next = header;
            next.kind = kind;
            ++next.hops;
            next.sender = m_settings.self;
            actions.add(SendTunnel { to.tunnel, next, bytes });
        }

        AgentFlowsSettings m_settings;
        const Clock& m_clock;
        Random& m_random;
        std::shared_ptr<const Directory> m_directory;
        std::unique_ptr<BucketTable> m_table;
        std::map<BucketId, Member> m_previous; // the owner of each bucket before the current one

    private:
        void install(const std::shared_ptr<const Directory>& directory)
        {
            if (m_directory && directory->version <= m_directory->version)
                return;
            const Service* service = directory->findService(m_settings.service);
            auto table = std::make_unique<BucketTable>(*directory, *service);
            for (uint32_t i = 0; m_table && i < table->bucketCount(); ++i) {
                BucketId bucket(static_cast<uint16_t>(i));
                const Member* before = m_table->owner(bucket);
                const Member* now = table->owner(bucket);
                if (before && (!now || before->id != now->id))
                    m_previous[bucket] = *before;
            }
            m_directory = directory;
            m_table = std::move(table);
        }
    };

    // Delivers each packet to the local target. With `previous`, a segment of a flow that was not opened here is
    // forwarded once to the previous owner of the bucket.
    class HashOnlyAgent final : public BaselineAgent {
    public:
        HashOnlyAgent(const AgentFlowsSettings& settings, const Clock& clock, Random& random, bool previous)
            : BaselineAgent(settings, clock, random)
            , m_usePrevious(previous)
        {
        }

    private:
        void packet(const TunnelHeader& header, const IpPacket& packet, Bytes bytes, Actions& actions) override
        {
            if (packet.flags.isInitialSyn())
                m_flows[packet.key] = true;
            bool known = m_flows.count(packet.key) > 0;
            auto previous = m_previous.find(header.bucket);
            if (m_usePrevious && !known && header.hops < 2 && previous != m_previous.end()
                && previous->second.id != m_settings.self)
                forwardTo(header, previous->second, TunnelKind::ToOwner, bytes, actions);
            else
                deliver(bytes, actions);
        }

        bool m_usePrevious;
        std::map<FlowKey, bool> m_flows;
    };

    // The owner knows the flows of its buckets and places new ones at a random member, or at the less loaded of two
    // random members by load reports that are up to 2 s old. Only for schedules without directory changes, because
    // flows of a moved bucket are not handed over.
    class PlacingAgent final : public BaselineAgent {
    public:
        PlacingAgent(const AgentFlowsSettings& settings, const Clock& clock, Random& random, bool twoChoices)
            : BaselineAgent(settings, clock, random)
            , m_twoChoices(twoChoices)
        {
        }

        void handle(const AgentEvent& event, Actions& actions) override
        {
            if (std::holds_alternative<Tick>(event) && m_table && m_clock.now() >= m_nextReport) {
                // A load report of this baseline is a tunnel datagram with the number of open flows.
                m_nextReport = m_clock.now() + std::chrono::seconds(2);
                uint32_t open = static_cast<uint32_t>(m_held.size());
                m_loads[m_settings.self] = open;
                const auto* raw = reinterpret_cast<const uint8_t*>(&open);
                Bytes bytes = actions.store(std::vector<uint8_t>(raw, raw + sizeof(open)));
                TunnelHeader header;
                header.kind = TunnelKind::PeerMessage;
                header.service = m_settings.service;
                header.sender = m_settings.self;
                for (const Member& member : m_table->members()) {
                    if (member.id != m_settings.self)
                        actions.add(SendPeer { member.id, member.tunnel, header, bytes });
                }
            }
            const auto* tunnel = std::get_if<TunnelReceived>(&event);
            if (tunnel && tunnel->header.kind == TunnelKind::PeerMessage)
                std::memcpy(&m_loads[tunnel->header.sender], tunnel->bytes.data(), sizeof(uint32_t));
            else
                BaselineAgent::handle(event, actions);
        }

    private:
        void packet(const TunnelHeader& header, const IpPacket& packet, Bytes bytes, Actions& actions) override
        {
            if (header.kind != TunnelKind::ToOwner) {
                m_held[packet.key] = true;
                if (packet.flags.fin || packet.flags.rst)
                    m_held.erase(packet.key);
                deliver(bytes, actions);
                return;
            }
            if (packet.flags.isInitialSyn() && m_attempts[packet.key] != packet.tcpSequence) {
                m_attempts[packet.key] = packet.tcpSequence;
                m_placed[packet.key] = choose();
            }
            auto found = m_placed.find(packet.key);
            const Member* holder = found == m_placed.end() ? nullptr : m_table->member(found->second);
            if (holder)
                forwardTo(header, *holder, TunnelKind::ToHolder, bytes, actions);
        }

        MemberId choose()
        {
            const std::vector<Member>& members = m_table->members();
            MemberId first = members[m_random.below(members.size())].id;
            MemberId second = members[m_random.below(members.size())].id;
            return m_twoChoices && m_loads[second] < m_loads[first] ? second : first;
        }

        bool m_twoChoices;
        Time m_nextReport;
        std::map<FlowKey, bool> m_held;
        std::map<FlowKey, uint32_t> m_attempts;
        std::map<FlowKey, MemberId> m_placed;
        std::map<MemberId, uint32_t> m_loads;
    };

} // namespace

const char* policyName(Policy policy)
{
    static const char* const names[]
        = { "machines", "hash_only", "previous_owner", "random_placement", "two_choices_2s" };
    return names[static_cast<size_t>(policy)];
}

std::unique_ptr<SimulatedAgent> makeAgent(
    Policy policy, const AgentFlowsSettings& settings, TargetAdmission& admission, const Clock& clock, Random& random)
{
    switch (policy) {
    case Policy::HashOnly:
    case Policy::PreviousOwner:
        return std::make_unique<HashOnlyAgent>(settings, clock, random, policy == Policy::PreviousOwner);
    case Policy::RandomPlacement:
    case Policy::TwoChoices:
        return std::make_unique<PlacingAgent>(settings, clock, random, policy == Policy::TwoChoices);
    case Policy::Machines:
        break;
    }
    return std::make_unique<LibraryAgent>(settings, admission, clock, random);
}

} // namespace cicadaward::flow::simulation
