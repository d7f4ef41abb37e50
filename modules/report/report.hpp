#ifndef BRIARDRUM_REPORT_REPORT_HPP
#define BRIARDRUM_REPORT_REPORT_HPP

// What callers got: counters per service and interval, service-level burn,
// and the page that says whether a day went well.
//
// Depends on: core, config.

#endif
