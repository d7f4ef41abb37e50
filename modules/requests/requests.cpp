#include "requests/requests.hpp"
