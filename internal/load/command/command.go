// Package command implements the command line of the load tool.
package command

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/load"
	"kingcupcourse/internal/load/collector"
	"kingcupcourse/internal/load/experiment"
	"kingcupcourse/internal/load/report"
)

// CLI is the command line.
type CLI struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Run     Run              `cmd:"" help:"Run one experiment and report it."`
	Compare Compare          `cmd:"" help:"Run one experiment against several systems in turn, over several seeds, and report ratios."`
	Report  Report           `cmd:"" help:"Write the readable report of a JSON result."`
	Table   Table            `cmd:"" help:"Report the ratios between the JSON results of earlier runs."`
}

// Overrides are command line options that replace values of the experiment
// file.
type Overrides struct {
	LoadFactor float64 `help:"Multiply every rate; 0 keeps the file's factor."`
	OnlyTier   int     `help:"Send only the classes of this tier; 0 for all."`
	DurationMS int64   `name:"duration-ms" help:"How long requests arrive, in milliseconds; 0 keeps the file's."`
	NoFaults   bool    `help:"Leave the experiment's faults out."`
}

func (o *Overrides) apply(e *experiment.Experiment) {
	if o.LoadFactor != 0 {
		e.LoadFactor = o.LoadFactor
	}
	if o.OnlyTier != 0 {
		e.OnlyTier = core.Tier(o.OnlyTier)
	}
	if o.DurationMS != 0 {
		e.DurationMS = o.DurationMS
	}
	if o.NoFaults {
		e.Faults = nil
	}
}

// Run is the run command.
type Run struct {
	Overrides
	Experiment string `arg:"" type:"existingfile" help:"Experiment file (JSON)."`
	Out        string `help:"Folder for result.json and the plots; empty for none."`
	Seed       uint64 `help:"Seed; 0 keeps the file's."`
}

// Run runs the experiment.
func (r *Run) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e, err := experiment.Load(r.Experiment)
	if err != nil {
		return err
	}
	r.apply(e)
	if r.Seed != 0 {
		e.Seed = r.Seed
	}
	result, err := runExperiment(ctx, e)
	if err != nil {
		return err
	}
	if r.Out != "" {
		if err := saveResult(r.Out, result); err != nil {
			return err
		}
	}
	return report.WriteText(os.Stdout, result)
}

func runExperiment(ctx context.Context, e *experiment.Experiment) (*collector.Result, error) {
	before, err := load.ReadCounters(ctx, e)
	if err != nil {
		return nil, err
	}
	samples, err := load.New(e, zap.NewNop()).Run(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "run experiment")
	}
	after, err := load.ReadCounters(ctx, e)
	if err != nil {
		return nil, err
	}
	result := collector.Summarize(samples, time.Duration(e.DurationMS)*time.Millisecond)
	result.Experiment, result.Seed, result.LoadFactor = e.Name, e.Seed, e.LoadFactor
	result.Engines = after.Diff(before, samples)
	return result, nil
}

func saveResult(folder string, result *collector.Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return eris.Wrap(err, "save result")
	}
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return eris.Wrap(err, "save result")
	}
	if err := os.WriteFile(filepath.Join(folder, "result.json"), text, 0o644); err != nil {
		return eris.Wrap(err, "save result")
	}
	return report.WritePlots(folder, result)
}

// Compare is the compare command.
type Compare struct {
	Overrides
	Targets []string `arg:"" help:"Systems as NAME=EXPERIMENT, at least two; the first is the base of the ratios."`
	Seeds   int      `default:"3" help:"How many seeds, from 1 up."`
}

// Run runs every target in turn for each seed and writes the comparison.
func (c *Compare) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	names, files, err := c.parseTargets()
	if err != nil {
		return err
	}
	results := map[string][]*collector.Result{}
	for seed := 1; seed <= c.Seeds; seed++ {
		for i, name := range names {
			e, err := experiment.Load(files[i])
			if err != nil {
				return err
			}
			c.apply(e)
			e.Seed = uint64(seed)
			result, err := runExperiment(ctx, e)
			if err != nil {
				return err
			}
			results[name] = append(results[name], result)
		}
	}
	return report.WriteComparison(os.Stdout, names, results)
}

func (c *Compare) parseTargets() (names, files []string, err error) {
	for _, target := range c.Targets {
		name, file, ok := strings.Cut(target, "=")
		if !ok {
			return nil, nil, eris.Errorf("target %q is not NAME=EXPERIMENT", target)
		}
		names, files = append(names, name), append(files, file)
	}
	if len(names) < 2 {
		return nil, nil, eris.New("compare needs at least two targets")
	}
	return names, files, nil
}

// Report is the report command.
type Report struct {
	Result string `arg:"" type:"existingfile" help:"A result.json of an earlier run."`
}

// Run writes the report.
func (r *Report) Run() error {
	result, err := readResult(r.Result)
	if err != nil {
		return err
	}
	return report.WriteText(os.Stdout, result)
}

// Table is the table command.
type Table struct {
	Targets []string `arg:"" help:"Systems as NAME=FOLDER, at least two; each folder has one folder with a result.json for each seed. The first is the base of the ratios."`
}

// Run writes the table.
func (t *Table) Run() error {
	names, folders, err := (&Compare{Targets: t.Targets}).parseTargets()
	if err != nil {
		return err
	}
	results := map[string][]*collector.Result{}
	for i, name := range names {
		files, err := filepath.Glob(filepath.Join(folders[i], "*", "result.json"))
		if err != nil || len(files) == 0 {
			return eris.Errorf("no result.json below %s", folders[i])
		}
		for _, file := range files {
			result, err := readResult(file)
			if err != nil {
				return err
			}
			results[name] = append(results[name], result)
		}
	}
	return report.WriteComparison(os.Stdout, names, results)
}

func readResult(path string) (*collector.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read result")
	}
	result := new(collector.Result)
	return result, eris.Wrap(json.Unmarshal(text, result), "read result")
}
