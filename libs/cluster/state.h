// The replicated state: the configuration in force, the data centres that are out, and the addresses of the control
// instances. Commands are applied in log order by every instance; equal logs give equal states.
//
// The register of the configuration takes the highest version. A command with the version held, or a lower one, changes
// nothing, so a repeated order is harmless and other content under a version held never takes force.
#pragma once

#include "core/ids.h"
#include "directory/directory.h"
#include "steering/route_table.h"
#include "store/records.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadaward::cluster {

struct InstanceAddress {
    Endpoint peer; // control datagrams
    Endpoint operators; // administration API

    friend bool operator==(const InstanceAddress& a, const InstanceAddress& b)
    {
        return a.peer == b.peer && a.operators == b.operators;
    }
};

enum class CommandKind : uint8_t { PutConfiguration, SetDataCentre, SetInstance };

struct Command {
    CommandKind kind = CommandKind::PutConfiguration;
    steering::Configuration configuration;
    std::string text; // PutConfiguration: as the operator sent it, compressed
    std::string dataCentre;
    bool out = false;
    InstanceId instance;
    InstanceAddress address;
};

// What entries and agents need of the state.
struct ForwardingState {
    LogIndex index = 0; // of the newest command; a larger index is newer, in all processes and for ever
    steering::Configuration configuration; // its routes carry their former services
    std::set<std::string> out; // data centres
};

class State {
public:
    void apply(LogIndex, const Command&);

    LogIndex index() const { return m_index; }
    const steering::RouteTable& routes() const { return m_routes; }
    const std::string& text() const { return m_text; } // compressed; empty before the first configuration
    const std::set<std::string>& out() const { return m_out; }
    const std::map<InstanceId, InstanceAddress>& instances() const { return m_instances; }
    // A lost disk's identity: another one has registered at its address since.
    bool isRetired(InstanceId id) const { return m_retired.count(id) != 0; }

    std::string encode() const;
    // False when the bytes are no state; the state is then unchanged.
    bool decode(const std::string&);
    ForwardingState forwarding() const;

private:
    LogIndex m_index = 0; // of the newest command that changed what entries and agents see
    steering::RouteTable m_routes;
    std::string m_text;
    std::set<std::string> m_out;
    std::map<InstanceId, InstanceAddress> m_instances;
    std::set<InstanceId> m_retired;
};

} // namespace cicadaward::cluster
