// Command standin holds the stand-ins and the checks of the review's cases. Each case starts the scheduler by the deploy file.
//
//	standin CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"time"
)

var cases = map[string]func(w *world){}

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return 2
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "flaxshelf-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	w := &world{root: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, interrupts...)
	go endOnSignal(w, signals)
	defer w.close()
	defer func() {
		if reason := recover(); reason != nil {
			problem, ok := reason.(cannotRun)
			if !ok {
				w.close()
				panic(reason)
			}
			w.log("the case could not run: %s", problem.text)
			fmt.Println("could not run:", problem.text)
			code = 2
		}
	}()
	w.log("trouble: %v", w.trouble)
	cases[os.Args[1]](w)
	if len(w.broken) == 0 {
		w.log("the rule held")
		fmt.Println("held")
		return 0
	}
	w.log("the rule was broken %d times", len(w.broken))
	fmt.Printf("broken %d times, first: %s\n", len(w.broken), w.broken[0])
	return 1
}
