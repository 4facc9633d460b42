#include "Control/completion.h"

namespace hyssopbarrow {

std::string_view BashCompletion() {
  // clang-format off
  return R"bash(_hyssopbarrowctl() {
  local word=${COMP_WORDS[COMP_CWORD]}
  local kinds="team pool host queue key"
  local commands="list show set delete grant withdraw move apply report submit status wait cancel fleet completion"
  case $COMP_CWORD in
    1) COMPREPLY=($(compgen -W "$commands" -- "$word")) ;;
    2) case ${COMP_WORDS[1]} in
         list|show|set|delete) COMPREPLY=($(compgen -W "$kinds" -- "$word")) ;;
         withdraw) COMPREPLY=($(compgen -W "$(hyssopbarrowctl --output=names list key 2>/dev/null)" -- "$word")) ;;
         move) COMPREPLY=($(compgen -W "$(hyssopbarrowctl --output=names list host 2>/dev/null)" -- "$word")) ;;
         submit|status|wait|cancel) COMPREPLY=($(compgen -W "$(hyssopbarrowctl --output=names list queue 2>/dev/null)" -- "$word")) ;;
         fleet) COMPREPLY=($(compgen -W "jobs targets owners relays waves evacuations run-times" -- "$word")) ;;
         apply) COMPREPLY=($(compgen -f -- "$word")) ;;
         report) COMPREPLY=($(compgen -W "burn" -- "$word")) ;;
         completion) COMPREPLY=($(compgen -W "bash" -- "$word")) ;;
       esac ;;
    3) case ${COMP_WORDS[1]} in
         status|wait|cancel) COMPREPLY=($(compgen -W "$(hyssopbarrowctl --output=names fleet jobs 2>/dev/null)" -- "$word")) ;;
         *) COMPREPLY=($(compgen -W "$(hyssopbarrowctl --output=names list "${COMP_WORDS[2]}" 2>/dev/null)" -- "$word")) ;;
       esac ;;
  esac
}
complete -F _hyssopbarrowctl hyssopbarrowctl
)bash";
  // clang-format on
}

}  // namespace hyssopbarrow
