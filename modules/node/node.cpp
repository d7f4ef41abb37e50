#include "node/node.hpp"
