package command

import "runtime/debug"

// goMemoryShare is the share of the VM's memory limit from which on the Go runtime collects garbage more often instead
// of growing. The pages of the program take a fifth of the smallest VM's limit; the rest is for what comes at once.
const goMemoryShare = 0.3

// limitGoMemory makes the Go runtime keep its memory below a share of a memory limit in bytes. A limit of 0, which is not
// known, has no effect.
func limitGoMemory(limit int64) {
	if limit <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(goMemoryShare * float64(limit)))
}
