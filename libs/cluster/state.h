// The replicated state: the configuration in force, the data centres that are out, the addresses of the control
// instances, and the register of members. Commands are applied in log order by every instance; equal logs give equal
// states.
//
// The register of the configuration takes the highest version. A command with the version held, or a lower one, changes
// nothing, so a repeated order is harmless and other content under a version held never takes force.
//
// The register names every target that may hold flows: a target gets no flow before the register has its start, and
// leaves it when it departs. Whoever has the newest register can therefore tell that nobody holds a flow, also after
// all processes have lost their memory.
#pragma once

#include "core/ids.h"
#include "directory/directory.h"
#include "steering/members.h"
#include "steering/route_table.h"
#include "store/records.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadaward::cluster {

struct InstanceAddress {
    Endpoint peer; // control datagrams
    Endpoint adminApi; // administration API

    friend bool operator==(const InstanceAddress& a, const InstanceAddress& b)
    {
        return a.peer == b.peer && a.adminApi == b.adminApi;
    }
};

enum class CommandKind : uint8_t { PutConfiguration, SetDataCentre, SetInstance, RegisterMembers, RemoveMembers };

struct Command {
    CommandKind kind = CommandKind::PutConfiguration;
    steering::Configuration configuration;
    std::string compressedText; // PutConfiguration: as the operator sent it, compressed
    std::string dataCentre;
    bool isEvacuated = false;
    InstanceId instance;
    InstanceAddress address;
    std::vector<steering::MemberRecord> members;
};

// What entries and agents need of the state.
struct ForwardingState {
    LogIndex index = 0; // of the newest command; a larger index is newer, in all processes and for ever
    steering::Configuration configuration; // its routes carry their former services
    std::set<std::string> evacuatedDataCentres; // data centres
};

using MemberRegister = std::map<Endpoint, steering::MemberRecord>; // by agent

class State {
public:
    void apply(LogIndex, const Command&);

    LogIndex index() const { return m_index; }
    const steering::RouteTable& routes() const { return m_routes; }
    const std::string& compressedText() const
    {
        return m_compressedText;
    } // compressed; empty before the first configuration
    const std::set<std::string>& evacuatedDataCentres() const { return m_evacuatedDataCentres; }
    const std::map<InstanceId, InstanceAddress>& instances() const { return m_instances; }
    // A lost disk's identity: another one has registered at its address since.
    bool isRetired(InstanceId id) const { return m_retired.count(id) != 0; }
    // The register, by agent: the record with which each target's current start was announced.
    const MemberRegister& members() const { return m_members; }
    // True when the register has this start of the record's target.
    bool isRegistered(const steering::MemberRecord&) const;

    std::string encode() const;
    // False when the bytes are no state; the state is then unchanged.
    bool decode(const std::string&);
    ForwardingState forwardingState() const;

private:
    bool applyConfiguration(const Command&);
    bool applyDataCentre(const Command&);
    void applyInstance(const Command&);
    void registerMember(const steering::MemberRecord&);

    LogIndex m_index = 0; // of the newest command that changed what entries and agents see
    steering::RouteTable m_routes;
    std::string m_compressedText;
    std::set<std::string> m_evacuatedDataCentres;
    std::map<InstanceId, InstanceAddress> m_instances;
    std::set<InstanceId> m_retired;
    MemberRegister m_members;
};

} // namespace cicadaward::cluster
