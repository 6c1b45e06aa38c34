package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	idleWindow    = 10 * time.Second
	ticksPerCore  = 100 // clock ticks a second in /proc/PID/stat
	settleTimeout = 60 * time.Second
)

// BenchmarkIdle measures idle entries and agents as real processes: bytes sent and CPU per second, memory and
// connections per process. Run it with: go test ./cmd/tarragonwheel -run '^$' -bench Idle -benchtime 1x
func BenchmarkIdle(b *testing.B) {
	for _, size := range []struct{ entries, agents int }{{4, 6}, {4, 46}, {8, 192}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			for range b.N {
				measureIdle(b, size.entries, size.agents)
			}
		})
	}
}

// fleet is a scenario without a script, for benchmarks.
type fleet struct {
	*scenario
	b     *testing.B
	names map[string][]string // by role
}

// newFleet starts a VM list. Its processes end with the benchmark.
func newFleet(b *testing.B) *fleet {
	b.Helper()
	scn := &scenario{dir: b.TempDir(), processes: make(map[string]*process), addresses: make(map[string]string)}
	flt := &fleet{scenario: scn, b: b, names: make(map[string][]string)}
	b.Cleanup(func() {
		for _, prc := range scn.processes {
			_ = prc.cmd.Process.Kill()
			<-prc.done
		}
	})
	if err := os.WriteFile(filepath.Join(scn.dir, "secrets.ini"), []byte(scenarioSecrets), 0o600); err != nil {
		b.Fatal(err)
	}
	flt.run("vms V")
	return flt
}

// run executes one line of the scenario language.
func (flt *fleet) run(format string, args ...any) {
	flt.b.Helper()
	words := strings.Fields(fmt.Sprintf(format, args...))
	if err := commands[words[0]](flt.scenario, words[1:]); err != nil {
		flt.b.Fatal(err)
	}
}

// launch starts a process with the line of the scenario language, and lists its VM.
func (flt *fleet) launch(role, name, format string, args ...any) {
	flt.run(format, args...)
	flt.run("vm V %s %s live", name, role)
	flt.names[role] = append(flt.names[role], name)
}

// waitConnected waits until the agents hold so many connections in all.
func (flt *fleet) waitConnected(sessions int) {
	for end := time.Now().Add(settleTimeout); countConnected(flt.scenario, flt.names["agent"]) != sessions; {
		if time.Now().After(end) {
			flt.b.Fatalf("%d connections, want %d", countConnected(flt.scenario, flt.names["agent"]), sessions)
		}
		time.Sleep(pollInterval * 20)
	}
}

// measure runs fn and reports the mean use of each role's processes meanwhile.
func (flt *fleet) measure(fn func()) {
	before := make(map[string]usage)
	for role, list := range flt.names {
		before[role] = total(flt.b, flt.scenario, list)
	}
	start := time.Now()
	fn()
	sec := time.Since(start).Seconds()
	for role, list := range flt.names {
		after, num := total(flt.b, flt.scenario, list), float64(len(list))
		flt.b.ReportMetric((after.sent-before[role].sent)/sec/num, role+"-sent-B/s")
		flt.b.ReportMetric((after.received-before[role].received)/sec/num, role+"-received-B/s")
		flt.b.ReportMetric((after.ticks-before[role].ticks)/ticksPerCore/sec/num*1000, role+"-mCPU")
		flt.b.ReportMetric(after.resident/num/1024, role+"-MiB")
	}
}

func measureIdle(b *testing.B, entries, agents int) {
	flt := newFleet(b)
	flt.run("engine E1 listing-text")
	for num := range entries {
		name := fmt.Sprintf("entry-%d", num)
		flt.launch("entry", name, "entry %s dc1 vms=V", name)
	}
	for num := range agents {
		name := fmt.Sprintf("agent-%d", num)
		flt.launch("agent", name, "agent %s listing-text dc1 engine=E1", name)
	}
	sessions := 4 * agents
	flt.waitConnected(sessions)
	flt.measure(func() { time.Sleep(idleWindow) })
	b.ReportMetric(float64(sessions)/float64(entries), "entry-conns")
}

// countConnected returns how many connections the agents hold.
func countConnected(scn *scenario, agents []string) int {
	sum := 0
	for _, name := range agents {
		log := scn.processes[name].text()
		sum += strings.Count(log, "entry connected") - strings.Count(log, "entry disconnected")
	}
	return sum
}

// usage sums over processes: bytes written and read, CPU time in clock ticks, and resident memory in KiB.
type usage struct{ sent, received, ticks, resident float64 }

var (
	writtenBytes = regexp.MustCompile(`wchar: (\d+)`)
	readBytes    = regexp.MustCompile(`rchar: (\d+)`)
	residentSize = regexp.MustCompile(`VmRSS:\s+(\d+)`)
)

func total(b *testing.B, scn *scenario, names []string) usage {
	var sum usage
	for _, name := range names {
		read := func(file string) string {
			text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", scn.processes[name].cmd.Process.Pid, file))
			if err != nil {
				b.Fatal(err)
			}
			return string(text)
		}
		number := func(text string) float64 {
			num, err := strconv.ParseFloat(text, 64)
			if err != nil {
				b.Fatal(err)
			}
			return num
		}
		sum.sent += number(writtenBytes.FindStringSubmatch(read("io"))[1])
		sum.received += number(readBytes.FindStringSubmatch(read("io"))[1])
		sum.resident += number(residentSize.FindStringSubmatch(read("status"))[1])
		stat := read("stat")
		fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
		sum.ticks += number(fields[11]) + number(fields[12])
	}
	return sum
}
