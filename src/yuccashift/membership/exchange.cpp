#include "yuccashift/membership/exchange.hpp"

namespace yuccashift {

LoadExchange::~LoadExchange() = default;
SummaryExchange::~SummaryExchange() = default;
DemandExchange::~DemandExchange() = default;

} // namespace yuccashift
