package goosememory

const (
	// collectorShare is the part of the machine's memory from which on the garbage collector runs
	// more often, and defaultCollectorLimit that limit if the memory is unknown.
	collectorShare        = 0.56
	defaultCollectorLimit = 160 << 20
)

// CollectorLimit returns the soft limit of the garbage collector, for debug.SetMemoryLimit, on a
// machine with this memory; zero if it is unknown.
func CollectorLimit(machineBytes int64) int64 {
	if machineBytes <= 0 {
		return defaultCollectorLimit
	}
	return int64(collectorShare * float64(machineBytes))
}
