#include "yuccashift/ports/config_source.hpp"
#include "yuccashift/ports/engine_control.hpp"
#include "yuccashift/ports/instance_list.hpp"

namespace yuccashift {

ConfigSource::~ConfigSource() = default;

InstanceList::~InstanceList() = default;

EngineControl::~EngineControl() = default;

std::string_view toString(OrderKind kind)
{
    switch (kind) {
    case OrderKind::LoadModel:
        return "load-model";
    case OrderKind::LoadAdapter:
        return "load-adapter";
    case OrderKind::UnloadModel:
        return "unload-model";
    case OrderKind::SetRole:
        break;
    }
    return "set-role";
}

} // namespace yuccashift
