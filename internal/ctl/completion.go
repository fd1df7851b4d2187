package ctl

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// completionCommand prints a shell script that completes commands, flags and
// file names.
type completionCommand struct {
	Shell string `arg:"" help:"The shell: bash, zsh or fish." enum:"bash,zsh,fish"`
}

// Run implements the command.
func (c *completionCommand) Run(env *environment) error {
	var text bytes.Buffer
	switch c.Shell {
	case "fish":
		writeFish(&text, env.parser.Model)
	case "zsh":
		text.WriteString("autoload -U +X bashcompinit && bashcompinit\n")
		writeBash(&text, env.parser.Model)
	default:
		writeBash(&text, env.parser.Model)
	}
	return env.print(&text)
}

func writeBash(out *bytes.Buffer, model *kong.Application) {
	fmt.Fprintf(out, "_%s() {\n", program)
	out.WriteString("  local words command word\n")
	out.WriteString("  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n")
	out.WriteString("    case \"$word\" in -*) ;; *) command=$word; break ;; esac\n  done\n")
	out.WriteString("  case \"$command\" in\n")
	for _, child := range model.Children {
		fmt.Fprintf(out, "    %s) words=\"%s\" ;;\n", child.Name, strings.Join(flags(child), " "))
	}
	fmt.Fprintf(out, "    *) words=\"%s %s\" ;;\n  esac\n",
		strings.Join(commands(model), " "), strings.Join(flags(model.Node), " "))
	out.WriteString("  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n")
	fmt.Fprintf(out, "complete -o default -F _%s %s\n", program, program)
}

func writeFish(out *bytes.Buffer, model *kong.Application) {
	for _, child := range model.Children {
		fmt.Fprintf(out, "complete -c %s -n __fish_use_subcommand -a %s -d %q\n", program, child.Name, child.Help)
		for _, flag := range child.Flags {
			fmt.Fprintf(out, "complete -c %s -n '__fish_seen_subcommand_from %s' -l %s -d %q\n",
				program, child.Name, flag.Name, flag.Help)
		}
	}
	for _, flag := range model.Flags {
		fmt.Fprintf(out, "complete -c %s -l %s -d %q\n", program, flag.Name, flag.Help)
	}
}

func commands(model *kong.Application) []string {
	var names []string
	for _, child := range model.Children {
		names = append(names, child.Name)
	}
	return names
}

func flags(node *kong.Node) []string {
	var names []string
	for _, flag := range node.Flags {
		names = append(names, "--"+flag.Name)
	}
	return names
}
