// Command standin plays one case of the review: it starts stand-ins of the platform, the runners and
// the clients, and entry hosts as processes, and checks a rule by what the stand-ins have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseRun is one run of a case.
type caseRun struct {
	program, template, dir string
	// trouble is set unless the case runs without its disruption.
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
	hosts  []*host
}

// addHost makes the end of the case end the host.
func (c *caseRun) addHost(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, h)
}

// stopHosts ends all hosts.
func (c *caseRun) stopHosts() {
	c.mu.Lock()
	hosts := c.hosts
	c.mu.Unlock()
	for _, h := range hosts {
		h.stop()
	}
}

// timeLimit limits a case.
const timeLimit = 110 * time.Second

// watch ends the case when it is interrupted or takes too long.
func (c *caseRun) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		c.log("the case was interrupted or took too long")
		c.stopHosts()
		os.Exit(exitNotRun)
	}()
}

// log writes a line to the record.
func (c *caseRun) log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(c.started).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(c.record, line)
	fmt.Println(line)
}

// note writes a line to the record only.
func (c *caseRun) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, format+"\n", args...)
}

// cases are the cases by name. They report whether the rule was broken.
var cases = map[string]func(c *caseRun) (broken bool, err error){
	"memory": playMemory,
	"wall":   playWall,
	"path":   playPath,
	"cut":    playCut,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for the record")
	program := flag.String("program", "target/sassafrasplank", "the program")
	template := flag.String("template", "deploy/settings.json.tmpl", "template of the settings")
	flag.Parse()
	os.Exit(play(*name, *record, *program, *template))
}

func play(name, record, program, template string) int {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		dir = keep
	}
	if program, err = filepath.Abs(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c := &caseRun{program: program, template: template, dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: f}
	c.watch()
	defer c.stopHosts()
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	broken, err := run(c)
	switch {
	case err != nil:
		c.log("the case could not run: %v", err)
		return exitNotRun
	case broken:
		c.log("the rule was broken")
		return exitBroken
	}
	c.log("the rule held")
	return exitHeld
}
