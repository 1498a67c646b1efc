package fleet

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"time"

	"verbenaway/core"
)

// DistributionConfig configures BenchDistribution.
type DistributionConfig struct {
	// Sizes are the fleet sizes and Ways the values of Config.Way to measure.
	Sizes []int
	Ways  []string
	// Changes is the number of notes published in each run.
	Changes int
	// Settle is the time before measuring in which the daemons discover each other.
	Settle time.Duration
	// Idle is the time over which the idle cost is measured.
	Idle time.Duration
}

// inForceBound is the required bound on the time until a change is in force everywhere.
const inForceBound = 12 * time.Second

// baseNote adds regions, a service and a route.
const baseNote = `
[[add.region]]
name = "north"
availabilityZones = ["north1", "north2", "north3"]
crossRegionBytesPerSecond = 1000000
[[add.region]]
name = "south"
availabilityZones = ["south1", "south2"]
crossRegionBytesPerSecond = 1000000
[[add.service]]
name = "netbook"
slots = 18
connections = 130
coldSlots = 2
warmUp = "10s"
reservedSlots = 4
[[add.route]]
name = "netLookup"
host = "netbook.example"
pathPrefix = "/nets"
methods = ["GET"]
service = "netbook"
class = "lookup"
idempotent = true
timeout = "800ms"
`

// BaseNote returns the body of the first note that benchmarks and tests publish.
func BaseNote() string {
	return baseNote
}

// RouteNote returns the body of a note that changes the timeout of the route of BaseNote.
func RouteNote(milliseconds int) string {
	return fmt.Sprintf(`
[[change.route]]
name = "netLookup"
host = "netbook.example"
pathPrefix = "/nets"
methods = ["GET"]
service = "netbook"
class = "lookup"
idempotent = true
timeout = "%dms"
`, milliseconds)
}

// distribution holds the results of one run.
type distribution struct {
	way              string
	daemons          int
	convergence      []time.Duration // time until each change was in force everywhere
	idleBytes        float64         // per daemon and second
	changeBytes      float64         // per daemon and change, without the idle bytes
	crossRegionBytes float64         // per change
	idleOps          float64         // store operations per second
	restartPeak      int64           // store calls offered in one second
	restartTime      time.Duration
	cpuPercent       float64 // of one core, per daemon
	memoryMb         float64 // per daemon
	notConverged     int     // changes that were not in force everywhere within inForceBound
}

// BenchDistribution measures the distribution of versions for each size and way, and prints one
// line each. Control bytes per daemon are counted at both ends, so each message between daemons
// counts twice. Bytes between regions and of store calls are counted only at the client side.
func BenchDistribution(out io.Writer, config DistributionConfig) error {
	for _, size := range config.Sizes {
		for _, way := range config.Ways {
			result, err := measureDistribution(config, size, way)
			if err != nil {
				return err
			}
			result.print(out)
		}
	}
	return nil
}

func measureDistribution(config DistributionConfig, size int, way string) (distribution, error) {
	result := distribution{
		way:     way,
		daemons: size,
	}
	memoryBefore := heapBytes()
	f, err := New(Config{
		Daemons:   size,
		Zones:     TargetZones,
		Services:  []core.ServiceName{"netbook"},
		Latencies: TargetLatencies,
		Way:       way,
		Seed:      1,
	})
	if err != nil {
		return result, err
	}
	if err = f.Start(); err != nil {
		return result, err
	}
	if _, err = f.AwaitVersion(f.Publish(baseNote), size, 60*time.Second); err != nil {
		return result, err
	}
	time.Sleep(config.Settle)
	f.measureIdle(&result, config.Idle)
	result.memoryMb = float64(heapBytes()-memoryBefore) / float64(size) / (1 << 20)
	f.measureChanges(&result, config.Changes)
	if err = f.measureRestart(&result); err != nil {
		return result, err
	}
	return result, f.Stop()
}

// measureIdle measures bytes, store operations and CPU time without changes.
func (f *Fleet) measureIdle(result *distribution, duration time.Duration) {
	bytes, ops, cpu := f.bytes(), f.storeOperations(), cpuTime()
	begin := time.Now()
	time.Sleep(duration)
	seconds := time.Since(begin).Seconds()
	perDaemon := seconds * float64(len(f.Daemons))
	result.idleBytes = float64(f.bytes()-bytes) / perDaemon
	result.idleOps = float64(f.storeOperations()-ops) / seconds
	result.cpuPercent = 100 * (cpuTime() - cpu).Seconds() / perDaemon
}

// measureChanges publishes changes and waits for each to be in force everywhere.
func (f *Fleet) measureChanges(result *distribution, changes int) {
	bytes, crossRegion := f.bytes(), f.crossRegionBytes()
	begin := time.Now()
	for i := range changes {
		elapsed, err := f.AwaitVersion(f.Publish(RouteNote(500+i)), len(f.Daemons), inForceBound)
		if err != nil {
			result.notConverged++
		}
		result.convergence = append(result.convergence, elapsed)
	}
	idle := result.idleBytes * time.Since(begin).Seconds()
	result.changeBytes = (float64(f.bytes()-bytes)/float64(len(f.Daemons)) - idle) / float64(changes)
	result.crossRegionBytes = float64(f.crossRegionBytes()-crossRegion) / float64(changes)
}

// measureRestart kills all daemons and starts them again together, with empty memory.
func (f *Fleet) measureRestart(result *distribution) error {
	for i := range f.Daemons {
		if err := f.Kill(i); err != nil {
			return err
		}
	}
	f.Store.ResetCounters()
	begin := time.Now()
	for i := range f.Daemons {
		if err := f.StartAgain(i); err != nil {
			return err
		}
	}
	_, err := f.AwaitVersion(f.lastVersion, len(f.Daemons), 60*time.Second)
	result.restartTime = time.Since(begin)
	result.restartPeak = f.Store.Counters().PeakOffered
	return err
}

// bytes counts control bytes at both ends of connections between daemons, and those of store calls.
func (f *Fleet) bytes() int64 {
	total := f.crossRegionBytes() + f.SameRegionTraffic.Received.Load() + f.SameRegionTraffic.Sent.Load()
	for _, d := range f.Daemons {
		total += d.Traffic().Received.Load() + d.Traffic().Sent.Load()
	}
	return total
}

func (f *Fleet) crossRegionBytes() int64 {
	return f.CrossRegionTraffic.Received.Load() + f.CrossRegionTraffic.Sent.Load()
}

func (f *Fleet) storeOperations() int64 {
	return f.Store.Counters().Operations
}

// cpuTime returns the CPU time of the whole process, including the store stand-in.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the bytes in heap and stacks after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// print prints the results as one line.
func (d *distribution) print(out io.Writer) {
	slices.Sort(d.convergence)
	convergenceMs := func(quantile float64) float64 {
		if len(d.convergence) == 0 {
			return 0
		}
		return float64(d.convergence[int(quantile*float64(len(d.convergence)-1))].Microseconds()) / 1000
	}
	fmt.Fprintf(out, "distribution way=%s daemons=%d convergenceP50Ms=%.1f convergenceP99Ms=%.1f convergenceMaxMs=%.1f "+
		"notConverged=%d idleControlBytesPerDaemonPerSecond=%.0f controlBytesPerDaemonPerChange=%.0f crossRegionBytesPerChange=%.0f "+
		"storeOpsPerSecondIdle=%.1f storeOpsPeakPerSecondRestart=%d restartMs=%d cpuPercentOfCorePerDaemon=%.3f memoryMbPerDaemon=%.2f\n",
		d.way, d.daemons, convergenceMs(0.5), convergenceMs(0.99), convergenceMs(1), d.notConverged, d.idleBytes, d.changeBytes, d.crossRegionBytes,
		d.idleOps, d.restartPeak, d.restartTime.Milliseconds(), d.cpuPercent, d.memoryMb)
}
