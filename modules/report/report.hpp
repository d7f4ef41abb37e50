#ifndef BRIARDRUM_REPORT_REPORT_HPP
#define BRIARDRUM_REPORT_REPORT_HPP

// What callers got: counters per service and interval, service-level burn,
// and the page that says whether a day went well.
//
// A process counts with a report_recorder and serves write_reports() of it.
// merge_reports() joins those of many processes, make_day_report() works out
// the day, write_html() and write_text() set it down.
//
// Depends on: core, config, wire, requests.

#include "report/metrics/report_recorder.hpp"
#include "report/model/day_report.hpp"
#include "report/model/merge_reports.hpp"
#include "report/model/report_json.hpp"
#include "report/page/write_html.hpp"
#include "report/page/write_text.hpp"

#endif
