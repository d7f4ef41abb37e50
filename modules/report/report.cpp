#include "report/report.hpp"
