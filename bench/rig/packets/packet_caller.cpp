#include "bench/rig/packets/packet_caller.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briardrum::rig
{

namespace
{

constexpr millis copy_times[] = {milliseconds(200), milliseconds(600)};
constexpr millis try_time = milliseconds(1400);
constexpr std::uint16_t request_bytes = 300;
constexpr std::uint32_t first_caller_address = 0x64400001; // 100.64.0.1
constexpr std::uint32_t ports_per_caller = 50000;
// Spread of the logarithm of work times, and their bound as a factor.
constexpr double work_spread = 0.5;
constexpr double work_factor_max = 6;

} // namespace

auto load_tally::in_aim_share() const -> double
{
    return asked == 0 ? 1
                      : static_cast<double>(in_aim) /
                            static_cast<double>(in_aim + late + failed);
}

auto load_tally::served_share() const -> double
{
    return asked == 0 ? 1
                      : static_cast<double>(in_aim + late) /
                            static_cast<double>(in_aim + late + failed);
}

auto load_tally::percentile_ms(double share) const -> std::int64_t
{
    if (times_ms.empty())
    {
        return 0;
    }
    auto sorted = times_ms;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = share * static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(rank)];
}

packet_caller::packet_caller(event_queue& events,
                             std::vector<packet_load> loads, std::uint64_t seed,
                             std::function<void(const flow_packet&)> send)
    : events_(events), loads_(std::move(loads)), factors_(loads_.size(), 1.0),
      next_ms_(loads_.size(), 0.0), tallies_(loads_.size()), random_(seed),
      send_(std::move(send))
{
}

auto packet_caller::start() -> void
{
    for (std::size_t n = 0; n < loads_.size(); ++n)
    {
        arrive(n);
    }
}

auto packet_caller::set_factor(const std::string& load, double factor) -> void
{
    for (std::size_t n = 0; n < loads_.size(); ++n)
    {
        factors_[n] = loads_[n].name == load ? factor : factors_[n];
    }
}

auto packet_caller::arrive(std::size_t load) -> void
{
    const auto mean_ms = 1000.0 / (loads_[load].per_second * factors_[load]);
    // Kept in fractions, so that many a millisecond do not become more.
    auto& next = next_ms_[load];
    next = std::max(next, static_cast<double>(events_.now().count)) -
           std::log(1 - random_.unit()) * mean_ms;
    events_.at(milliseconds(static_cast<std::int64_t>(next)),
               [this, load]
               {
                   const auto& it = loads_[load];
                   requests_.push_back(
                       {load, events_.now(), draw_work(it), 0, 0, false});
                   ++tallies_[load].asked;
                   open(requests_.size() - 1);
                   arrive(load);
               });
}

auto packet_caller::draw_work(const packet_load& load) -> millis
{
    const auto radius = std::sqrt(-2 * std::log(1 - random_.unit()));
    const auto angle = 6.283185307179586 * random_.unit();
    const auto normal = radius * std::cos(angle);
    const auto log_factor =
        work_spread * normal - work_spread * work_spread / 2;
    auto factor = std::min(work_factor_max, std::exp(log_factor));
    if (load.tail_share > 0 && random_.chance(load.tail_share))
    {
        factor *= load.tail_factor;
    }
    const auto ms = static_cast<double>(load.work.count) * factor;
    return milliseconds(std::max<std::int64_t>(1, std::lround(ms)));
}

auto packet_caller::open(std::size_t number) -> void
{
    auto& it = requests_[number];
    ++it.tries;
    const auto port = next_port_++;
    const endpoint caller{
        first_caller_address + port / ports_per_caller,
        static_cast<std::uint16_t>(1024 + port % ports_per_caller)};
    flow_packet opening;
    opening.source = caller;
    opening.destination = loads_[it.load].route;
    const auto flow = flow_from_caller(opening);
    tries_.insert(flow, {number, caller, false, false, 0});
    send_opening(flow, 0);
    std::uint8_t copies = 0;
    for (const auto& time : copy_times)
    {
        ++copies;
        events_.after(time,
                      [this, flow, copies]
                      {
                          send_opening(flow, copies);
                      });
    }
    events_.after(try_time,
                  [this, flow]
                  {
                      const auto* found = tries_.find(flow);
                      if (found != nullptr && !found->open)
                      {
                          const auto asked = found->number;
                          tries_.erase(flow);
                          try_again(asked, false);
                      }
                  });
    events_.after(it.asked_at + loads_[it.load].deadline - events_.now(),
                  [this, number]
                  {
                      end(number, false);
                  });
}

auto packet_caller::send_opening(const flow_key& flow, std::uint8_t copies)
    -> void
{
    const auto* found = tries_.find(flow);
    if (found != nullptr && !found->open && !requests_[found->number].ended)
    {
        send(flow, true, copies, 0);
    }
}

auto packet_caller::send(const flow_key& flow, bool opens, std::uint8_t copies,
                         std::uint16_t payload) -> void
{
    const auto& found = *tries_.find(flow);
    flow_packet out;
    out.source = found.caller;
    out.destination = loads_[requests_[found.number].load].route;
    out.opens = opens;
    out.retransmissions = copies;
    out.acknowledges = !opens;
    out.acknowledged = opens ? copies : found.server_sequence + 1;
    out.payload_bytes = payload;
    send_(out);
}

auto packet_caller::on_packet(const flow_packet& packet) -> void
{
    const auto flow = flow_from_server(packet);
    auto* found = tries_.find(flow);
    if (found == nullptr)
    {
        return;
    }
    const auto asked = found->number;
    if (packet.opens)
    {
        if (!std::exchange(found->open, true))
        {
            found->server_sequence = packet.sequence;
            send(flow, false, 0, request_bytes);
        }
        return;
    }
    if (packet.payload_bytes == 0)
    {
        return;
    }
    const auto refused = found->refused;
    tries_.erase(flow);
    if (refused)
    {
        try_again(asked, false);
        return;
    }
    end(asked, true);
}

auto packet_caller::on_reset(const flow_key& flow) -> void
{
    const auto* found = tries_.find(flow);
    if (found == nullptr)
    {
        return;
    }
    const auto asked = found->number;
    const auto was_open = found->open;
    tries_.erase(flow);
    try_again(asked, was_open);
}

auto packet_caller::try_again(std::size_t number, bool ran_maybe) -> void
{
    const auto& it = requests_[number];
    const auto& load = loads_[it.load];
    if (it.ended)
    {
        return;
    }
    if (it.tries > load.retries || (ran_maybe && !load.repeatable))
    {
        end(number, false);
        return;
    }
    open(number);
}

auto packet_caller::end(std::size_t number, bool answered) -> void
{
    auto& it = requests_[number];
    if (std::exchange(it.ended, true))
    {
        return;
    }
    const auto& load = loads_[it.load];
    auto& sums = tallies_[it.load];
    const auto took = events_.now() - it.asked_at;
    outcome result{it.asked_at, load.worth, 0};
    if (!answered)
    {
        ++sums.failed;
    }
    else if (took > load.aim)
    {
        ++sums.late;
        result.earned = load.late_worth;
        sums.times_ms.push_back(took.count);
    }
    else
    {
        ++sums.in_aim;
        result.earned = load.worth;
        sums.times_ms.push_back(took.count);
    }
    outcomes_.push_back(result);
}

auto packet_caller::work_of(const flow_key& flow) -> millis
{
    const auto* found = tries_.find(flow);
    return found == nullptr ? milliseconds(1) : requests_[found->number].work;
}

auto packet_caller::on_run(const flow_key& flow) -> void
{
    const auto* found = tries_.find(flow);
    if (found == nullptr)
    {
        return;
    }
    auto& it = requests_[found->number];
    auto& sums = tallies_[it.load];
    ++sums.runs;
    ++it.runs;
    sums.doubled += it.runs > 1 && !loads_[it.load].repeatable ? 1 : 0;
}

auto packet_caller::on_refused(const flow_key& flow) -> void
{
    if (auto* found = tries_.find(flow))
    {
        found->refused = true;
    }
}

auto packet_caller::is_open(const flow_key& flow) const -> bool
{
    const auto* found = tries_.find(flow);
    return found != nullptr && found->open;
}

auto packet_caller::worth_between(millis from, millis until) const -> double
{
    double owed = 0;
    double earned = 0;
    for (const auto& it : outcomes_)
    {
        if (it.asked_at >= from && it.asked_at < until)
        {
            owed += it.owed;
            earned += it.earned;
        }
    }
    return owed == 0 ? 1 : earned / owed;
}

auto packet_caller::loads() const -> const std::vector<packet_load>&
{
    return loads_;
}

auto packet_caller::tally(const std::string& load) const -> const load_tally&
{
    std::size_t place = 0;
    while (place + 1 < loads_.size() && loads_[place].name != load)
    {
        ++place;
    }
    return tallies_[place];
}

auto packet_caller::clear_tallies() -> void
{
    tallies_.assign(loads_.size(), {});
    outcomes_.clear();
}

} // namespace briardrum::rig
