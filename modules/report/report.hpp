#ifndef BRIARDRUM_REPORT_REPORT_HPP
#define BRIARDRUM_REPORT_REPORT_HPP

// Service-level reporting: request counts per service and interval, burn rates
// of error budgets, and a daily page that summarises them.
//
// Each process counts with a report_recorder and serves the output of
// write_reports(). merge_reports() combines the reports of many processes,
// make_day_report() computes the day, and write_html() and write_text() write
// the page.
//
// Depends on: core, config, wire, requests.

#include "report/metrics/report_recorder.hpp"
#include "report/model/day_report.hpp"
#include "report/model/merge_reports.hpp"
#include "report/model/report_json.hpp"
#include "report/page/write_html.hpp"
#include "report/page/write_text.hpp"

#endif
