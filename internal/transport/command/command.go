package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes, and the name of the program in its output.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	programName = "lagoongw"
)

// subcommand describes one subcommand of the program.
type subcommand struct {
	// name is one word or two words, such as "rules check".
	name string
	// args is the name of the operand in the help text, such as FILE; it is empty if there is none.
	args    string
	summary string
	// options is a pointer to a go-flags struct, or nil.
	options any
	// run executes the subcommand; its args are the operands, without the options.
	run func(ctx context.Context, out io.Writer, args []string) error
}

func subcommands() []subcommand {
	commands := []subcommand{
		cmdServe(),
		cmdGateway(),
		cmdRulesCheck(),
		cmdRulesPublish(),
		cmdRulesShow(),
		cmdRulesHistory(),
		cmdEntry(),
		cmdStatus(),
		cmdRequest(),
		cmdDrain(),
	}
	commands = append(commands, labSubcommands()...)
	return append(commands, cmdVersion())
}

// usageError reports an invalid command line, as opposed to a command that failed.
type usageError struct {
	text string
}

// Error implements the error interface.
func (e usageError) Error() string { return e.text }

// Main runs the subcommand named by the arguments, which exclude the program's name, and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "--help" || args[0] == "-h" {
		printHelp(out)
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	chosen, rest, found := findSubcommand(args)
	if !found {
		printError(errOut, fmt.Sprintf("unknown command %q; run `%s help` for a list of commands",
			strings.Join(args, " "), programName))
		return exitUsage
	}
	operands, err := parseOptions(chosen, rest)
	if err == nil {
		err = chosen.run(ctx, out, operands)
	}
	return reportError(err, out, errOut)
}

// reportError prints an error or the requested help, and returns the exit code.
func reportError(err error, out, errOut io.Writer) int {
	var flagsError *flags.Error
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, flagsError.Message)
		return exitOK
	case errors.As(err, &flagsError), errors.As(err, &usage):
		printError(errOut, err.Error())
		return exitUsage
	}
	printError(errOut, err.Error())
	return exitFailed
}

// ignoreFurtherSignals keeps a process running that drains at its first SIGINT or SIGTERM: a second one does not end it, nor does
// a write to a standard output that nobody reads any more, which fails instead.
func ignoreFurtherSignals() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGINT, syscall.SIGTERM, syscall.SIGPIPE)
}

// findSubcommand returns the subcommand that args begin with, and the remaining arguments. Names of two words are
// matched before names of one.
func findSubcommand(args []string) (subcommand, []string, bool) {
	for words := min(2, len(args)); words > 0; words-- {
		name := strings.Join(args[:words], " ")
		for _, c := range subcommands() {
			if c.name == name {
				return c, args[words:], true
			}
		}
	}
	return subcommand{}, nil, false
}

// parseOptions parses the options of a subcommand and returns the operands.
func parseOptions(c subcommand, args []string) ([]string, error) {
	parser := flags.NewNamedParser(programName+" "+c.name, flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = "[options] " + c.args
	parser.ShortDescription = c.summary
	if c.options != nil {
		if _, err := parser.AddGroup("Options", "", c.options); err != nil {
			return nil, err
		}
	}
	return parser.ParseArgs(args)
}

func printHelp(out io.Writer) {
	_, _ = fmt.Fprintf(out, "usage: %s COMMAND [options]\n\ncommands:\n", programName)
	for _, c := range subcommands() {
		_, _ = fmt.Fprintf(out, "  %-22s %s\n", strings.TrimSpace(c.name+" "+c.args), c.summary)
	}
	_, _ = fmt.Fprintf(out, "\n`%s COMMAND --help` shows the options and their environment variables.\n", programName)
}

func printError(errOut io.Writer, text string) {
	for _, line := range strings.Split(text, "\n") {
		_, _ = fmt.Fprintf(errOut, "%s: %s\n", programName, line)
	}
}

func oneOperand(args []string, name string) (string, error) {
	if len(args) != 1 {
		return "", usageError{text: "expected exactly one argument: " + name}
	}
	return args[0], nil
}

// readFile returns the contents of a file, or of the standard input if path is "-".
func readFile(path string) (string, error) {
	if path == "-" {
		text, err := io.ReadAll(os.Stdin)
		return string(text), err
	}
	text, err := os.ReadFile(path)
	return string(text), err
}
