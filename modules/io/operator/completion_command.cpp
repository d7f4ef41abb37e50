#include "io/operator/operator_command.hpp"

#include <cstdio>

namespace briardrum
{

namespace
{

// Words by position; names of services and presets are asked of the store.
constexpr const char* bash_script =
    R"(# bash completion for briardrum; load it with
#     source <(briardrum completion bash)
_briardrum() {
    local word=${COMP_WORDS[COMP_CWORD]} words=
    local first=${COMP_WORDS[1]:-} second=${COMP_WORDS[2]:-}
    local common="--settings --name --store --daemon --timeout --json --help"
    case ${COMP_WORDS[COMP_CWORD - 1]} in
    --file | --settings | -s)
        COMPREPLY=($(compgen -f -- "$word"))
        return
        ;;
    --urgency) words="urgent normal bulk" ;;
    --service | --drop) words=$(briardrum service show --names 2>/dev/null) ;;
    --copy) words=$(briardrum preset show --names 2>/dev/null) ;;
    esac
    if [ -z "$words" ]; then
        case $COMP_CWORD:$first:$second in
        1:*) words="service preset use status history rotate-key completion" ;;
        2:service:* | 2:preset:*) words="create edit remove show" ;;
        2:use:*) words=$(briardrum preset show --names 2>/dev/null) ;;
        2:completion:*) words="bash" ;;
        3:service:create | 3:preset:create) ;;
        3:service:*) words=$(briardrum service show --names 2>/dev/null) ;;
        3:preset:*) words=$(briardrum preset show --names 2>/dev/null) ;;
        esac
    fi
    case $first:$second in
    service:create | service:edit)
        words+=" --address --repeatable --file --dry-run" ;;
    preset:create) words+=" --copy --file --dry-run" ;;
    preset:edit)
        words+=" --file --service --drop --share-percent --urgency"
        words+=" --queue-limit --default-deadline-ms --objective-ppm"
        words+=" --objective-latency-ms --retry-percent --dry-run" ;;
    *:remove | use:* | rotate-key:*) words+=" --dry-run" ;;
    *:show) words+=" --names" ;;
    status:*) words+=" --change" ;;
    history:*) words+=" --last" ;;
    esac
    COMPREPLY=($(compgen -W "$words $common" -- "$word"))
}
complete -F _briardrum briardrum
)";

} // namespace

auto add_completion_command(CLI::App& app, command_list& out) -> void
{
    auto* parent =
        app.add_subcommand("completion", "Print a completion script");
    parent->require_subcommand(1);
    auto* bash = parent->add_subcommand("bash", "For bash");
    out.push_back({bash, []
                   {
                       std::fputs(bash_script, stdout);
                       return absl::OkStatus();
                   }});
}

} // namespace briardrum
