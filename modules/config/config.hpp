#ifndef BRIARDRUM_CONFIG_CONFIG_HPP
#define BRIARDRUM_CONFIG_CONFIG_HPP

// What operators decide (services, presets, the preset in force) and what
// each process is told at start (its settings), with all their checks.
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
