// Output of results: Markdown tables, charts (gnuplot), and the command, machine, cores and seed of a run.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace database_proxy::testbench {

// The parameters of a run that its results are kept with.
struct Run {
  std::string command;  // complete command line that repeats the run
  std::uint64_t seed = 0;
  std::vector<int> cpus;
};

// Returns the processor, cores, kernel, compiler and date. CPU time that the host gave to other guests during
// a measurement is not included; the experiment that measures it adds it.
nlohmann::json describe_machine();

double median(std::vector<double> values);  // 0 if empty

// A column of a Markdown table: the key in the JSON rows, the title and the number of decimals.
struct Column {
  std::string key, title;
  int digits = 0;
};
// Returns the rows, JSON objects with a value for each column, as a Markdown table.
std::string markdown_table(const std::vector<Column>& columns, const nlohmann::json& rows);

// A series of labelled bars.
struct Series {
  std::string title;
  std::vector<std::pair<std::string, double>> bars;
};
// Writes a chart of grouped bars as SVG. Returns false and leaves no file behind if gnuplot is missing or has
// failed.
bool bar_chart(const std::string& path, const std::string& title, const std::string& unit,
               const std::vector<Series>& series);

// A line of a chart, as x and y values.
struct Line {
  std::string title;
  std::vector<std::pair<double, double>> points;
};
// Writes a chart of lines over a common x axis, as bar_chart does.
bool line_chart(const std::string& path, const std::string& title, const std::string& x, const std::string& y,
                const std::vector<Line>& lines);

// Writes to a temporary file in the same directory and renames it, so that no reader sees a partial file.
// Throws std::runtime_error on failure.
void write_file_atomically(const std::string& path, const std::string& text);

}  // namespace database_proxy::testbench
