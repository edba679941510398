#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace yuccashift::cli {

/** Formats an instance's response to `status` as text. */
std::string renderStatus(const boost::json::object& status);

/** Formats an instance's response to `explain` as text. */
std::string renderExplanation(const boost::json::object& explanation);

/** Formats the spans of one trace as an indented tree with one line per span. Expects the result of mergeSpans(). */
std::string renderTrace(const std::vector<boost::json::object>& spans);

/** Merges the spans of several responses to `trace`: removes duplicate span ids and sorts by start time. */
std::vector<boost::json::object> mergeSpans(const std::vector<boost::json::object>& responses);

} // namespace yuccashift::cli
