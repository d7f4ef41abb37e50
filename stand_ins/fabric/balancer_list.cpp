#include "stand_ins/fabric/balancer_list.hpp"

#include <fstream>
#include <iostream>

namespace briardrum
{

balancer_list::balancer_list(std::string file)
    : file_(std::move(file)), read_at_(std::filesystem::file_time_type::min())
{
}

auto balancer_list::refresh() -> bool
{
    std::error_code ec;
    const auto changed_at = std::filesystem::last_write_time(file_, ec);
    if (ec || changed_at == read_at_)
    {
        return false;
    }
    read_at_ = changed_at;
    read();
    return true;
}

auto balancer_list::all() const -> const std::vector<endpoint>&
{
    return all_;
}

auto balancer_list::read() -> void
{
    all_.clear();
    std::ifstream file(file_);
    for (std::string line; std::getline(file, line);)
    {
        if (line.empty() || line.front() == '#')
        {
            continue;
        }
        const auto address = parse_endpoint(line);
        if (!address.ok())
        {
            std::cerr << address.status().message() << '\n';
            continue;
        }
        all_.push_back(*address);
    }
}

} // namespace briardrum
