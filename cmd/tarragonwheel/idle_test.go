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

func measureIdle(b *testing.B, entries, agents int) {
	scn := &scenario{dir: b.TempDir(), processes: make(map[string]*process), addresses: make(map[string]string)}
	defer func() {
		for _, prc := range scn.processes {
			_ = prc.cmd.Process.Kill()
			<-prc.done
		}
	}()
	run := func(line string) {
		words := strings.Fields(line)
		if err := commands[words[0]](scn, words[1:]); err != nil {
			b.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(scn.dir, "secrets.ini"), []byte(scenarioSecrets), 0o600); err != nil {
		b.Fatal(err)
	}
	run("vms V")
	run("engine E1 listing-text")
	names := map[string][]string{}
	start := func(role, rest string, count int) {
		for num := range count {
			name := fmt.Sprintf("%s-%d", role, num)
			run(fmt.Sprintf(rest, name))
			run(fmt.Sprintf("vm V %s %s live", name, role))
			names[role] = append(names[role], name)
		}
	}
	start("entry", "entry %s dc1 vms=V", entries)
	start("agent", "agent %s listing-text dc1 engine=E1", agents)
	sessions := 4 * agents
	for end := time.Now().Add(settleTimeout); countConnected(scn, names["agent"]) != sessions; {
		if time.Now().After(end) {
			b.Fatalf("%d connections, want %d", countConnected(scn, names["agent"]), sessions)
		}
		time.Sleep(pollInterval * 20)
	}
	before := map[string]usage{"entry": total(b, scn, names["entry"]), "agent": total(b, scn, names["agent"])}
	time.Sleep(idleWindow)
	for role, list := range names {
		after, num := total(b, scn, list), float64(len(list))
		sec := idleWindow.Seconds()
		b.ReportMetric((after.sent-before[role].sent)/sec/num, role+"-sent-B/s")
		b.ReportMetric((after.received-before[role].received)/sec/num, role+"-received-B/s")
		b.ReportMetric((after.ticks-before[role].ticks)/ticksPerCore/sec/num*1000, role+"-mCPU")
		b.ReportMetric(after.resident/num/1024, role+"-MiB")
		b.ReportMetric(float64(sessions)/num, role+"-conns")
	}
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
