// InstanceSettingTable: descriptors of all settings of mulberryvalved.
#ifndef MULBERRYVALVE_ADAPTERS_SETTINGS_INSTANCE_SETTING_TABLE_H_
#define MULBERRYVALVE_ADAPTERS_SETTINGS_INSTANCE_SETTING_TABLE_H_

#include "mulberryvalve/adapters/settings/setting_table.h"
#include "mulberryvalve/core/settings/instance_settings.h"

namespace mulberryvalve {

// InstanceSettingTable returns the table, which exists until the process ends.
// Thread-safe.
const SettingTable<InstanceSettings>& InstanceSettingTable();

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_SETTINGS_INSTANCE_SETTING_TABLE_H_
