#ifndef BRIARDRUM_STAND_INS_FABRIC_BALANCER_LIST_HPP
#define BRIARDRUM_STAND_INS_FABRIC_BALANCER_LIST_HPP

#include "core/core.hpp"

#include <filesystem>
#include <string>
#include <vector>

namespace briardrum
{

// The balancers of a file with one "ip:port" per line; empty lines and lines
// that start with # are skipped. Call refresh() every so often: it reads the
// file again when its modification time has changed. Change the file by
// writing another one and renaming it.
class balancer_list
{
public:
    explicit balancer_list(std::string file);

    // True when the list was read again. A line that is no address is
    // reported on standard error and skipped.
    auto refresh() -> bool;

    auto all() const -> const std::vector<endpoint>&;

private:
    auto read() -> void;

    std::string file_;
    std::filesystem::file_time_type read_at_;
    std::vector<endpoint> all_;
};

} // namespace briardrum

#endif
