#ifndef BRIARDRUM_CONFIG_CONFIG_HPP
#define BRIARDRUM_CONFIG_CONFIG_HPP

// The configuration that operators manage (services, presets, the preset in
// force) and the settings that each process reads at start, with the
// validation of both.
//
// Depends on: core.

#include "config/edit/configuration_check.hpp"
#include "config/edit/configuration_diff.hpp"
#include "config/edit/configuration_edit.hpp"
#include "config/model/configuration.hpp"
#include "config/model/configuration_change.hpp"
#include "config/model/preset.hpp"
#include "config/model/service.hpp"
#include "config/settings/agent_settings.hpp"
#include "config/settings/balancer_settings.hpp"
#include "config/text/configuration_text.hpp"
#include "config/text/configuration_values.hpp"
#include "config/text/problem_list.hpp"

#endif
