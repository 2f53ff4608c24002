// Results kept as JSON, a Markdown table and a chart (gnuplot), beside the command, machine, cores and seed.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::testbench {

struct Run {
  std::string command;  // as it can be given again
  std::uint64_t seed = 0;
  std::vector<int> cpus;
};

// Processor, cores, kernel, compiler, date; what of the processors others took meanwhile is added by who
// measures.
nlohmann::json describe_machine();

double median(std::vector<double> values);  // 0 where there are none

struct Column {
  std::string key, title;
  int digits = 0;
};
std::string markdown_table(const std::vector<Column>& columns, const nlohmann::json& rows);

struct Series {
  std::string title;
  std::vector<std::pair<std::string, double>> bars;
};
// A chart of grouped bars as SVG. False: gnuplot is not there, or has failed; nothing is left behind then.
bool bar_chart(const std::string& path, const std::string& title, const std::string& unit,
               const std::vector<Series>& series);

struct Line {
  std::string title;
  std::vector<std::pair<double, double>> points;
};
// The same with lines over one axis.
bool line_chart(const std::string& path, const std::string& title, const std::string& x, const std::string& y,
                const std::vector<Line>& lines);

// Writes beside and renames, so that no half file is ever seen. Throws std::runtime_error.
void write_file_atomically(const std::string& path, const std::string& text);

}  // namespace database_proxy::testbench
