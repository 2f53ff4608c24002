#include "testbench/fault_injection/call_faults.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <filesystem>
#include <new>
#include <stdexcept>

#include "net/fd.h"

namespace database_proxy::testbench {

CallFaults::CallFaults(const std::string& program, const std::string& file, std::uint64_t seed)
    : library_((std::filesystem::path(program).parent_path() / "libfaulty_calls.so").string()), file_(file) {
  if (!std::filesystem::exists(library_)) throw std::runtime_error(library_ + " does not exist");
  net::Fd opened(open(file.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!opened || ftruncate(opened.get(), sizeof(FaultControl)) != 0)
    throw std::runtime_error("cannot create " + file);
  void* memory = mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, opened.get(), 0);
  if (memory == MAP_FAILED) throw std::runtime_error("cannot map " + file);
  control_ = new (memory) FaultControl;
  control_->seed = seed;
}

CallFaults::~CallFaults() { munmap(control_, sizeof(FaultControl)); }

std::vector<std::pair<std::string, std::string>> CallFaults::environment() const {
  return {{"LD_PRELOAD", library_}, {kFaultControlVariable, file_}};
}

void CallFaults::clear() {
  for (auto& rate : control_->one_in) rate = 0;
  control_->wall_clock_offset_us = 0;
}

}  // namespace database_proxy::testbench
