#include "io/operator/change_command.hpp"

#include "io/operator/command_output.hpp"
#include "io/operator/store_session.hpp"

#include <random>
#include <sodium.h>

namespace briardrum
{

namespace
{

auto random_bits() -> std::uint64_t
{
    std::uint64_t out = 0;
    randombytes_buf(&out, sizeof(out));
    return out;
}

auto first_configuration() -> configuration
{
    std::array<std::uint8_t, 32> secret{};
    randombytes_buf(secret.data(), secret.size());
    return initial_configuration(secret);
}

// An edit with all that is printed about it.
struct prepared_change
{
    edited_configuration edited;
    std::optional<std::string> root;
    history_entry entry;
};

auto prepare(const operator_options& options, const configuration_edit& edit,
             const loaded_configuration& loaded)
    -> absl::StatusOr<prepared_change>
{
    const auto before =
        loaded.value == nullptr ? first_configuration() : *loaded.value;
    const auto version = before.version + 1;
    const change_author author{make_change_id(version, random_bits()),
                               options.name, clock::wall()};
    auto edited = apply_edit(before, edit, author);
    if (!edited.ok())
    {
        return edited.status();
    }
    prepared_change out;
    out.entry = {version,          author.change_id,
                 author.name,      author.at,
                 summary_of(edit), describe_difference(before, edited->after)};
    out.edited = *std::move(edited);
    out.root = loaded.root;
    return out;
}

auto outcome_json(const char* outcome, const history_entry& entry)
    -> nlohmann::ordered_json
{
    nlohmann::ordered_json out;
    out["outcome"] = outcome;
    out.update(to_json(entry));
    return out;
}

auto print_dry_run(const operator_options& options, const history_entry& entry)
    -> void
{
    if (options.json)
    {
        print_json(outcome_json("dry_run", entry));
        return;
    }
    print_lines("this would change (nothing was written):", entry.difference);
}

auto print_accepted(const operator_options& options, const history_entry& entry)
    -> void
{
    if (options.json)
    {
        print_json(outcome_json("accepted", entry));
        return;
    }
    print_line("accepted: version " + std::to_string(entry.version) +
               ", change " + entry.change_id);
    print_lines("changed:", entry.difference);
}

auto print_refused(const operator_options& options, const history_entry& entry,
                   const std::optional<history_entry>& winner) -> absl::Status
{
    if (options.json)
    {
        auto out = outcome_json("refused", entry);
        out["winner"] =
            winner.has_value() ? to_json(*winner) : nlohmann::ordered_json();
        print_json(out);
    }
    else
    {
        print_line("refused: another change came first; nothing of yours was "
                   "written");
        if (winner.has_value())
        {
            print_lines(winner->changed_by + " changed by \"" +
                            winner->summary + "\" (" + winner->change_id +
                            ", " + to_utc(winner->changed_at) + "):",
                        winner->difference);
        }
        print_lines("yours would have changed:", entry.difference);
    }
    return make_error(error_kind::conflict,
                      "look at the store with `briardrum history`, then make "
                      "your change again if it still fits");
}

auto print_unknown(const operator_options& options, const history_entry& entry)
    -> absl::Status
{
    if (options.json)
    {
        print_json(outcome_json("unknown", entry));
    }
    return make_error(error_kind::unknown_outcome,
                      "not known yet: change id " + entry.change_id +
                          ", ask again with `briardrum status --change " +
                          entry.change_id + "`");
}

auto report(const operator_options& options, const history_entry& entry,
            const commit_report& outcome) -> absl::Status
{
    switch (outcome.outcome)
    {
    case commit_outcome::accepted:
        print_accepted(options, entry);
        return absl::OkStatus();
    case commit_outcome::refused:
        return print_refused(options, entry, outcome.winner);
    case commit_outcome::unavailable:
        return make_error(error_kind::unavailable,
                          "nothing was written: " + outcome.reason);
    case commit_outcome::unknown:
        break;
    }
    return print_unknown(options, entry);
}

} // namespace

auto make_change(const operator_options& options,
                 const configuration_edit& edit) -> absl::Status
{
    if (options.name.empty() && !options.dry_run)
    {
        return make_error(error_kind::invalid_argument,
                          "say who you are by --name or by \"name\" in your "
                          "settings: the history keeps it");
    }
    store_session session(options);
    const auto loaded = session.load();
    if (!loaded.ok())
    {
        return loaded.status();
    }
    const auto prepared = prepare(options, edit, *loaded);
    if (!prepared.ok())
    {
        return prepared.status();
    }
    if (options.dry_run)
    {
        print_dry_run(options, prepared->entry);
        return absl::OkStatus();
    }
    const auto outcome =
        session.commit(prepared->edited, prepared->root, prepared->entry);
    return report(options, prepared->entry, outcome);
}

} // namespace briardrum
