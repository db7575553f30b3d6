#include "carawayway/membership/config_spread.hpp"
#include "carawayway/membership/server_ownership.hpp"
#include "carawayway/membership/summary_table.hpp"
#include "carawayway/peer/peer_network.hpp"
