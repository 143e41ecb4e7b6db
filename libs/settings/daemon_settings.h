// The settings of the daemons, as tables. docs/SETTINGS.md lists them for users.
//
//     const Settings settings = loadSettings(path, entrySettings(), findings);
#pragma once

#include "settings/settings.h"

namespace cicadaward {

const SettingTable& entrySettings();
const SettingTable& agentSettings();
const SettingTable& controlSettings();

// The daemons on a fabric that hands over flows in datagrams (libs/steering, libs/cluster).
const SettingTable& flowEntrySettings();
const SettingTable& flowAgentSettings();
const SettingTable& flowControlSettings();

} // namespace cicadaward
