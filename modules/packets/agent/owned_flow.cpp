#include "packets/agent/owned_flow.hpp"

namespace briardrum
{

auto to_string(flow_phase phase) -> std::string_view
{
    switch (phase)
    {
    case flow_phase::waiting:
        return "waiting";
    case flow_phase::opening:
        return "opening";
    case flow_phase::receiving:
        return "receiving";
    case flow_phase::asking:
        return "asking";
    case flow_phase::idle:
        return "idle";
    case flow_phase::probing:
        break;
    }
    return "probing";
}

auto is_undecided_hedge(const owned_flow& row) -> bool
{
    return row.opening.label.kind == label_kind::hedge && !row.confirmed;
}

} // namespace briardrum
