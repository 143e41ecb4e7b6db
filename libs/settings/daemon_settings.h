// The settings of the three daemons, as tables. docs/SETTINGS.md lists them for users.
//
//     const Settings settings = loadSettings(path, entrySettings(), findings);
#pragma once

#include "settings/settings.h"

namespace cicadaward {

const SettingTable& entrySettings();
const SettingTable& agentSettings();
const SettingTable& controlSettings();

} // namespace cicadaward
