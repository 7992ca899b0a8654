package load

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// swfLog is a log whose third job has no submission time.
const swfLog = `; Version: 2.2
; UnixStartTime: 1000
1 0 5 60 4 -1 -1 4 -1 1048576 1 7 1 3 1 1 -1 -1
2 30 5 -1 2 -1 -1 2 -1 -1 5 8 1 -1 1 1 -1 -1
3 -1 5 60 4 -1 -1 4 -1 -1 1 7 1 3 1 1 -1 -1
4 10 5 60 -1 -1 -1 8 -1 -1 1 7 1 3 1 1 -1 -1
`

func TestReadSWFImportsJobs(t *testing.T) {
	trace, skipped, err := ReadSWF(strings.NewReader(swfLog), "batch")
	if err != nil || skipped != 1 || len(trace.Jobs) != 3 || trace.Start.Unix() != 1000 {
		t.Fatalf("got %+v, %d skipped, error %v; want 3 jobs from 1000 s on, 1 skipped, no error", trace, skipped, err)
	}
	want := []Job{{At: 0, Class: "batch", Service: "app-3", Tenant: "user-7", Cores: 4, Memory: 4, Runtime: time.Minute},
		{At: 10 * time.Second, Class: "batch", Service: "app-3", Tenant: "user-7", Cores: 8, Runtime: time.Minute},
		{At: 30 * time.Second, Class: "batch", Tenant: "user-8", Cores: 2, Censored: true}}
	if fmt.Sprint(trace.Jobs) != fmt.Sprint(want) {
		t.Errorf("got\n%v\nwant\n%v", trace.Jobs, want)
	}
}

func TestReadSWFReportsInvalidLine(t *testing.T) {
	for _, c := range []struct {
		name, text  string
		line, field int
	}{
		{"too few fields", "1 2 3", 1, 0},
		{"field is a word", strings.Replace(swfLog, " 60 ", " sixty ", 1), 3, 4},
		{"field is NaN", strings.Replace(swfLog, " 60 ", " NaN ", 1), 3, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := ReadSWF(strings.NewReader(c.text), "c")
			var e *SWFError
			if !errors.As(err, &e) || e.Line != c.line || e.Field != c.field {
				t.Errorf("got error %v, want an SWFError of line %d, field %d", err, c.line, c.field)
			}
		})
	}
}
