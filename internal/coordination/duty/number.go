package duty

// eraShift leaves 40 bits of a number for an offset, which lasts for 10 appends a second over 3,000 years.
const eraShift = 40

// numberAt returns the number of the lease that a record at an offset claims in an era of the store.
func numberAt(era, offset int) int { return era<<eraShift | (offset + 1) }

// eraOf returns the era of the store in which a number was claimed.
func eraOf(number int) int { return number >> eraShift }
