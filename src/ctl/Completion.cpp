#include "ctl/Completion.h"

#include "operator_language/Help.h"

#include <map>
#include <set>
#include <string_view>

namespace briarspar::ctl {

namespace {

using Words = std::set<std::string>;

bool isKeyword(std::string_view word) {
  return !word.empty() && word.find_first_not_of("abcdefghijklmnopqrstuvwxyz") == word.npos;
}

/// Returns the keywords of a syntax line.
Words keywordsOf(std::string_view syntax) {
  Words words;
  while (!syntax.empty()) {
    size_t end = syntax.find_first_of(" ()[]|");
    if (isKeyword(syntax.substr(0, end)))
      words.emplace(syntax.substr(0, end));
    syntax.remove_prefix(end == syntax.npos ? syntax.size() : end + 1);
  }
  return words;
}

std::string joined(const Words &words) {
  std::string out;
  for (const std::string &it : words)
    out += (out.empty() ? "" : " ") + it;
  return out;
}

} // namespace

std::string bashCompletion() {
  std::map<std::string, Words> byFirst;
  Words first{"help", "completion", "explain"};
  for (const operator_language::StatementHelp &it : operator_language::statements()) {
    std::string verb(it.Syntax.substr(0, it.Syntax.find(' ')));
    byFirst[verb].merge(keywordsOf(it.Syntax.substr(verb.size())));
    if (verb != "show" && verb != "watch" && verb != "timeline")
      byFirst[verb].merge(Words{"expect", "id"});
    first.insert(verb);
  }
  std::string out = "_briarsparctl() {\n"
                    "  local cur=${COMP_WORDS[COMP_CWORD]} words= word verb=\n"
                    "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
                    "    case $word in\n";
  for (const std::string &it : first)
    out.append("      ").append(it).append(") verb=").append(it).append("; break ;;\n");
  out += "    esac\n"
         "  done\n"
         "  case $verb in\n"
         "    completion) words=bash ;;\n"
         "    explain) words= ;;\n";
  for (const auto &[verb, words] : byFirst)
    out += "    " + verb + ") words=\"" + joined(words) + "\" ;;\n";
  out += "    help) words=\"" + joined(first) + "\" ;;\n";
  out += "    *) words=\"" + joined(first) +
         " --server --key-file --file --blocks --json --help\" ;;\n"
         "  esac\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$cur\"))\n"
         "}\n"
         "complete -o default -F _briarsparctl briarsparctl\n";
  return out;
}

} // namespace briarspar::ctl
