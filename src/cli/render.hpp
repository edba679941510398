#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace yuccashift::cli {

/** One instance's answer to `status` as lines for people. */
std::string renderStatus(const boost::json::object& status);

/** An answer to `explain` as lines for people. */
std::string renderExplanation(const boost::json::object& explanation);

/** Spans of one trace from any number of instances, each once, as a tree with a line for each. */
std::string renderTrace(const std::vector<boost::json::object>& spans);

/** The spans of several answers to `trace` without repetition, by start. */
std::vector<boost::json::object> mergeSpans(const std::vector<boost::json::object>& answers);

} // namespace yuccashift::cli
