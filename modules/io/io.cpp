#include "io/io.hpp"
