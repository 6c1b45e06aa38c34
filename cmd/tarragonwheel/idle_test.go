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
	idleTime            = 10 * time.Second
	clockTicksPerSecond = 100 // unit of the CPU times in /proc/PID/stat
	settleTimeout       = 60 * time.Second
)

// BenchmarkIdle measures idle entries and agents as real processes: bytes sent and received, CPU, memory and
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

// benchScenario is a scenario that a benchmark drives instead of a script.
type benchScenario struct {
	*scenario
	b     *testing.B
	names map[string][]string // of processes, by role
}

// newBenchScenario returns a benchScenario with a VM list. All its processes are killed at the end of the benchmark.
func newBenchScenario(b *testing.B) *benchScenario {
	b.Helper()
	scn := &scenario{dir: b.TempDir(), processes: make(map[string]*process), addresses: make(map[string]string)}
	bsc := &benchScenario{scenario: scn, b: b, names: make(map[string][]string)}
	b.Cleanup(func() {
		for _, prc := range scn.processes {
			_ = prc.cmd.Process.Kill()
			<-prc.done
		}
	})
	if err := os.WriteFile(filepath.Join(scn.dir, "secrets.ini"), []byte(scenarioSecrets), 0o600); err != nil {
		b.Fatal(err)
	}
	bsc.run("vms V")
	return bsc
}

// run executes one line of a scenario script.
func (bsc *benchScenario) run(format string, args ...any) {
	bsc.b.Helper()
	words := strings.Fields(fmt.Sprintf(format, args...))
	if err := scriptCommands[words[0]](bsc.scenario, words[1:]); err != nil {
		bsc.b.Fatal(err)
	}
}

// startListed starts a process with one line of a scenario script, and adds its VM to the VM list.
func (bsc *benchScenario) startListed(role, name, format string, args ...any) {
	bsc.run(format, args...)
	bsc.run("vm V %s %s live", name, role)
	bsc.names[role] = append(bsc.names[role], name)
}

// waitConnected waits until the agents have the given number of connections in total.
func (bsc *benchScenario) waitConnected(conns int) {
	for end := time.Now().Add(settleTimeout); countConnected(bsc.scenario, bsc.names["agent"]) != conns; {
		if time.Now().After(end) {
			bsc.b.Fatalf("%d connections, want %d", countConnected(bsc.scenario, bsc.names["agent"]), conns)
		}
		time.Sleep(pollInterval * 20)
	}
}

// measureUsage runs fn and reports what the processes of each role used meanwhile, as a mean per process.
func (bsc *benchScenario) measureUsage(fn func()) {
	before := make(map[string]resourceUsage)
	for role, list := range bsc.names {
		before[role] = totalUsage(bsc.b, bsc.scenario, list)
	}
	start := time.Now()
	fn()
	sec := time.Since(start).Seconds()
	for role, list := range bsc.names {
		after, num := totalUsage(bsc.b, bsc.scenario, list), float64(len(list))
		bsc.b.ReportMetric((after.sent-before[role].sent)/sec/num, role+"-sent-B/s")
		bsc.b.ReportMetric((after.received-before[role].received)/sec/num, role+"-received-B/s")
		bsc.b.ReportMetric((after.ticks-before[role].ticks)/clockTicksPerSecond/sec/num*1000, role+"-mCPU")
		bsc.b.ReportMetric(after.resident/num/1024, role+"-MiB")
	}
}

func measureIdle(b *testing.B, entries, agents int) {
	bsc := newBenchScenario(b)
	bsc.run("engine E1 listing-text")
	for num := range entries {
		name := fmt.Sprintf("entry-%d", num)
		bsc.startListed("entry", name, "entry %s dc1 vms=V", name)
	}
	for num := range agents {
		name := fmt.Sprintf("agent-%d", num)
		bsc.startListed("agent", name, "agent %s listing-text dc1 engine=E1", name)
	}
	conns := 4 * agents
	bsc.waitConnected(conns)
	bsc.measureUsage(func() { time.Sleep(idleTime) })
	b.ReportMetric(float64(conns)/float64(entries), "entry-conns")
}

// countConnected returns the number of connections from entries that the agents have, by their logs.
func countConnected(scn *scenario, agents []string) int {
	sum := 0
	for _, name := range agents {
		log := scn.processes[name].text()
		sum += strings.Count(log, "entry connected") - strings.Count(log, "entry disconnected")
	}
	return sum
}

// resourceUsage is a sum over processes of bytes written and read, CPU time in clock ticks, and resident memory in KiB.
type resourceUsage struct{ sent, received, ticks, resident float64 }

var (
	writtenBytes = regexp.MustCompile(`wchar: (\d+)`)
	readBytes    = regexp.MustCompile(`rchar: (\d+)`)
	residentSize = regexp.MustCompile(`VmRSS:\s+(\d+)`)
)

func totalUsage(b *testing.B, scn *scenario, names []string) resourceUsage {
	var sum resourceUsage
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
