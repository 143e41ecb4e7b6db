// The replicated state: the configuration in force, the evacuated data centres, the addresses of the control instances,
// and the register of members. Every instance applies the commands in log order, so equal logs give equal states.
//
// The highest configuration version wins. A command with the current or a lower version has no effect, so repeating a
// command is harmless, and other content under the same version is never applied.
//
// The register names every target that may hold flows: a target gets no flow before the register has its current start,
// and is removed when it departs. A process with the newest register can therefore tell that no target holds a given
// flow, even after all processes have lost their memory.
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
    Endpoint peer; // receives control datagrams
    Endpoint adminApi;

    friend bool operator==(const InstanceAddress& a, const InstanceAddress& b)
    {
        return a.peer == b.peer && a.adminApi == b.adminApi;
    }
};

enum class CommandKind : uint8_t { PutConfiguration, SetDataCentre, SetInstance, RegisterMembers, RemoveMembers };

struct Command {
    CommandKind kind = CommandKind::PutConfiguration;
    steering::Configuration configuration;
    std::string compressedText; // PutConfiguration: the text that the operator sent
    std::string dataCentre;
    bool isEvacuated = false;
    InstanceId instance;
    InstanceAddress address;
    std::vector<steering::MemberRecord> members;
};

// The part of the state that entries and agents need.
struct ForwardingState {
    LogIndex index = 0; // of the newest command; a larger index is always newer, in every process
    steering::Configuration configuration; // its routes include their former services
    std::set<std::string> evacuatedDataCentres;
};

using MemberRegister = std::map<Endpoint, steering::MemberRecord>; // by agent

class State {
public:
    void apply(LogIndex, const Command&);

    LogIndex index() const { return m_index; }
    const steering::RouteTable& routes() const { return m_routes; }
    const std::string& compressedText() const { return m_compressedText; } // empty before the first configuration
    const std::set<std::string>& evacuatedDataCentres() const { return m_evacuatedDataCentres; }
    const std::map<InstanceId, InstanceAddress>& instances() const { return m_instances; }
    // True when another instance ID was since registered at the address of this one, which means that its disk was
    // lost.
    bool isRetired(InstanceId id) const { return m_retired.count(id) != 0; }
    // The register, by agent: the record that announced the current start of each target.
    const MemberRegister& members() const { return m_members; }
    // True when the register has the same start of the target as this record.
    bool isRegistered(const steering::MemberRecord&) const;

    std::string encode() const;
    // Returns false and leaves the state unchanged when the bytes are not an encoded state.
    bool decode(const std::string&);
    ForwardingState forwardingState() const;

private:
    bool applyConfiguration(const Command&);
    bool applyDataCentre(const Command&);
    void applyInstance(const Command&);
    void registerMember(const steering::MemberRecord&);

    LogIndex m_index = 0; // of the newest command that changed the forwarding state or an instance's address
    steering::RouteTable m_routes;
    std::string m_compressedText;
    std::set<std::string> m_evacuatedDataCentres;
    std::map<InstanceId, InstanceAddress> m_instances;
    std::set<InstanceId> m_retired;
    MemberRegister m_members;
};

} // namespace cicadaward::cluster
