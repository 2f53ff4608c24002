#include "testbench/report.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <sys/utsname.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace database_proxy::testbench {

using nlohmann::json;

json describe_machine() {
  std::string processor = "unknown", line;
  std::ifstream info("/proc/cpuinfo");
  while (std::getline(info, line))
    if (line.starts_with("model name")) {
      processor = line.substr(line.find(':') + 2);
      break;
    }
  utsname names{};
  uname(&names);
  return {{"processor", processor},
          {"cores", std::thread::hardware_concurrency()},
          {"system", fmt::format("{} {}", names.sysname, names.release)},
          {"compiler", fmt::format("g++ {}", __VERSION__)},
          {"date", fmt::format("{:%Y-%m-%d}", fmt::gmtime(std::time(nullptr)))}};
}

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  auto middle = values.size() / 2;
  return values.size() % 2 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

std::string markdown_table(const std::vector<Column>& columns, const json& rows) {
  std::string head = "|", rule = "|", body;
  for (auto& c : columns) {
    head += " " + c.title + " |";
    rule += " --- |";
  }
  for (auto& row : rows) {
    body += "|";
    for (auto& c : columns) {
      auto& value = row.at(c.key);
      body += " " +
              (value.is_null()     ? "-"
               : value.is_number() ? fmt::format("{:.{}f}", value.get<double>(), c.digits)
                                   : value.get<std::string>()) +
              " |";
    }
    body += "\n";
  }
  return head + "\n" + rule + "\n" + body;
}

// Runs the gnuplot script, which writes to `temporary_path`, and renames the result to `path`.
static bool plot(const std::string& script, const std::string& temporary_path, const std::string& path) {
  auto* pipe = popen("gnuplot >/dev/null 2>&1", "w");
  if (!pipe) return false;
  auto written = fwrite(script.data(), 1, script.size(), pipe);
  bool good = pclose(pipe) == 0 && written == script.size() && std::filesystem::exists(temporary_path);
  std::error_code none;
  if (good)
    std::filesystem::rename(temporary_path, path, none);
  else
    std::filesystem::remove(temporary_path, none);
  return good && !none;
}

bool bar_chart(const std::string& path, const std::string& title, const std::string& unit,
               const std::vector<Series>& series) {
  if (series.empty() || series.front().bars.empty()) return false;
  auto temporary_path = path + ".new";
  std::string script = fmt::format(
      "set terminal svg size 900,420 dynamic background rgb 'white'\nset output '{}'\nset title '{}'\n"
      "set ylabel '{}'\nset yrange [0:*]\nset style data histogram\nset style histogram clustered gap 1\n"
      "set style fill solid 0.8 border -1\nset key outside right\nset grid ytics\n$data << EOD\n-",
      temporary_path, title, unit);
  for (auto& s : series) script += fmt::format(" \"{}\"", s.title);
  script += "\n";
  for (std::size_t i = 0; i < series.front().bars.size(); ++i) {
    script += fmt::format("\"{}\"", series.front().bars[i].first);
    for (auto& s : series) script += fmt::format(" {}", s.bars.at(i).second);
    script += "\n";
  }
  script +=
      fmt::format("EOD\nplot for [i=2:{}] $data using i:xtic(1) title columnheader(i)\n", series.size() + 1);
  return plot(script, temporary_path, path);
}

bool line_chart(const std::string& path, const std::string& title, const std::string& x, const std::string& y,
                const std::vector<Line>& lines) {
  if (lines.empty()) return false;
  auto temporary_path = path + ".new";
  std::string script = fmt::format(
      "set terminal svg size 900,420 dynamic background rgb 'white'\nset output '{}'\nset title '{}'\n"
      "set xlabel '{}'\nset ylabel '{}'\nset yrange [0:*]\nset key outside right\nset grid\n",
      temporary_path, title, x, y);
  std::string plots;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    script += fmt::format("$l{} << EOD\n", i);
    for (auto& [at, value] : lines[i].points) script += fmt::format("{} {}\n", at, value);
    script += "EOD\n";
    plots += fmt::format("{} $l{} with lines lw 2 title \"{}\"", i ? "," : "plot", i, lines[i].title);
  }
  return plot(script + plots + "\n", temporary_path, path);
}

void write_file_atomically(const std::string& path, const std::string& text) {
  {
    std::ofstream file(path + ".new", std::ios::binary | std::ios::trunc);
    file << text;
    if (!file.flush()) throw std::runtime_error("cannot write " + path);
  }
  std::filesystem::rename(path + ".new", path);
}

}  // namespace database_proxy::testbench
