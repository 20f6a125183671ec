package usage

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// KeyOpen is the key of the checkpoint.
	KeyOpen = "usage-open"
	// keyFixed begins the keys of fixed windows, of which there are ringSize.
	keyFixed = "usage-"
	ringSize = 8
	// MaxCheckpointBytes is the largest checkpoint that holds the counts of all nodes by team. Beyond it, nodes that are
	// alive are saved with their totals only, since a next holder can ask them.
	MaxCheckpointBytes = 64 << 10
	// maxCheckpointCounts is the number of counts from which a checkpoint exceeds MaxCheckpointBytes in any case: a count
	// takes about 2.4 bytes.
	maxCheckpointCounts = 40_000
	// maxRecordBytes limits what a record may hold after decompression.
	maxRecordBytes = 16 << 20
)

// FixedKey returns the key under which the counts of a window are saved.
func FixedKey(window int) string { return keyFixed + strconv.Itoa(window%ringSize) }

// packed is a record as it is saved.
type packed struct {
	Deflated []byte `json:"deflated"`
}

// fixedRecord holds the counts of a fixed window.
type fixedRecord struct {
	Window int            `json:"window"`
	Counts map[string]int `json:"counts"`
}

// checkpoint holds what the next holder can't learn from the nodes.
type checkpoint struct {
	Era int `json:"era"`
	// EraSeenMs is when a holder first saw the era, in milliseconds since 1970.
	EraSeenMs int64 `json:"era-seen-ms"`
	// Next is the window that is fixed or left out next.
	Next     int              `json:"next"`
	Accepted []int            `json:"accepted,omitempty"`
	Teams    []string         `json:"teams"`
	Boots    []checkpointBoot `json:"boots"`
}

// checkpointBoot is what was known of a start of a node.
type checkpointBoot struct {
	Node    string `json:"node"`
	Boot    uint64 `json:"boot"`
	HeardMs int64  `json:"heard-ms"`
	Current int    `json:"current"`
	// EndedMs is when the process was noticed to have ended, 0 if it was not.
	EndedMs int64 `json:"ended-ms,omitempty"`
	Latest  bool  `json:"latest,omitempty"`
	// Rate is the requests a second that the node had.
	Rate    float64            `json:"rate,omitempty"`
	Windows []checkpointWindow `json:"windows,omitempty"`
}

// checkpointWindow holds the counts of a start of a node in a window.
type checkpointWindow struct {
	Window int `json:"window"`
	// Counts alternates between the distance to the next index of Teams and the team's count.
	Counts []int `json:"counts,omitempty"`
	// Omitted is the number of requests that Counts leaves out.
	Omitted int `json:"omitted,omitempty"`
}

// EncodeFixed returns the record of a fixed window.
func EncodeFixed(window int, counts map[string]int) ([]byte, error) {
	return pack(fixedRecord{
		Window: window,
		Counts: counts,
	})
}

// Checkpoint returns the record of the counts of the windows that are not fixed yet, for the next holder.
func (t *Tally) Checkpoint(now time.Time) ([]byte, error) {
	counts := 0
	for _, state := range t.boots {
		for window, byTeam := range state.windows {
			if window >= t.next {
				counts += len(byTeam)
			}
		}
	}
	if counts <= maxCheckpointCounts {
		record, err := pack(t.checkpoint(now, true))
		if err != nil || len(record) <= MaxCheckpointBytes {
			return record, err
		}
	}
	return pack(t.checkpoint(now, false))
}

func (t *Tally) checkpoint(now time.Time, all bool) checkpoint {
	record := checkpoint{
		Era:       t.era,
		EraSeenMs: t.eraSeen.UnixMilli(),
		Next:      t.next,
	}
	record.Accepted = slices.Sorted(maps.Keys(t.accepted))
	index := map[string]int{}
	if all || t.anyGone(now) {
		record.Teams, index = t.teams()
	}
	for key, state := range t.boots {
		boot := checkpointBoot{
			Node:    key.node,
			Boot:    key.boot,
			HeardMs: state.heard.UnixMilli(),
			Current: state.current,
			Latest:  t.latest[key.node] == key.boot,
			Rate:    math.Round(state.rate*10) / 10,
		}
		if !state.ended.IsZero() {
			boot.EndedMs = state.ended.UnixMilli()
		}
		detailed := all || t.gone(key, state, now) || !t.live[key.node]
		for window, byTeam := range state.windows {
			if window >= t.next {
				boot.Windows = append(boot.Windows, encodeWindow(window, byTeam, index, detailed))
			}
		}
		slices.SortFunc(boot.Windows, func(a, b checkpointWindow) int { return cmp.Compare(a.Window, b.Window) })
		record.Boots = append(record.Boots, boot)
	}
	slices.SortFunc(record.Boots, func(a, b checkpointBoot) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Boot, b.Boot))
	})
	return record
}

// anyGone reports whether any start of a node is gone or no longer a live member.
func (t *Tally) anyGone(now time.Time) bool {
	for key, state := range t.boots {
		if !t.live[key.node] || t.gone(key, state, now) {
			return true
		}
	}
	return false
}

// teams returns the teams with counts in windows that are not fixed yet, and the index of each.
func (t *Tally) teams() (names []string, index map[string]int) {
	index = map[string]int{}
	for _, state := range t.boots {
		for window, byTeam := range state.windows {
			if window < t.next {
				continue
			}
			for team := range byTeam {
				index[team] = 0
			}
		}
	}
	names = slices.Sorted(maps.Keys(index))
	for i, team := range names {
		index[team] = i
	}
	return names, index
}

func encodeWindow(window int, byTeam map[string]int, index map[string]int, detailed bool) checkpointWindow {
	encoded := checkpointWindow{Window: window}
	if !detailed {
		for _, count := range byTeam {
			encoded.Omitted += count
		}
		return encoded
	}
	type entry struct{ index, count int }
	entries := make([]entry, 0, len(byTeam))
	for team, count := range byTeam {
		entries = append(entries, entry{
			index: index[team],
			count: count,
		})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.index, b.index) })
	last := 0
	encoded.Counts = make([]int, 0, 2*len(entries))
	for _, e := range entries {
		encoded.Counts = append(encoded.Counts, e.index-last, e.count)
		last = e.index
	}
	return encoded
}

// Gain begins a holdership in an era of the store, with the newest records by key. The error names records that can't
// be used.
func (t *Tally) Gain(era int, records map[string][]byte, now time.Time) error {
	t.held = true
	t.backoff.succeed()
	t.fixing = nil
	if era != t.era || t.eraSeen.IsZero() {
		t.era, t.eraSeen = era, now
	}
	var faults []string
	known := t.next > 0
	for key, value := range records {
		var err error
		switch {
		case key == KeyOpen:
			err = t.loadCheckpoint(value)
		case strings.HasPrefix(key, keyFixed):
			err = t.loadFixed(value)
		default:
			continue
		}
		known = true
		if err != nil {
			faults = append(faults, key+": "+err.Error())
		}
	}
	if len(faults) > 0 {
		t.eraSeen = now // a window may have been fixed without this node knowing its counts
	}
	for window := range t.fixed {
		t.next = max(t.next, window+1)
	}
	if !known {
		t.next = WindowAt(t.eraSeen.Add(eraMargin), t.Window)
	}
	if len(faults) > 0 {
		slices.Sort(faults)
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}

var errDifferent = errors.New("fixed counts differ from those that this node has fixed")

// loadFixed loads the record of a fixed window. It is not sent again if this node knows other counts for it.
func (t *Tally) loadFixed(value []byte) error {
	var record fixedRecord
	if err := unpack(value, &record); err != nil {
		return err
	}
	t.setFixed(record.Window, record.Counts, true)
	if fixed := t.fixed[record.Window]; !maps.Equal(fixed.counts, record.Counts) {
		fixed.late = true
		return errDifferent
	}
	return nil
}

// loadCheckpoint adds the counts of a checkpoint to what is known.
func (t *Tally) loadCheckpoint(value []byte) error {
	var record checkpoint
	if err := unpack(value, &record); err != nil {
		return err
	}
	if seen := time.UnixMilli(record.EraSeenMs); record.Era == t.era && seen.Before(t.eraSeen) {
		t.eraSeen = seen
	}
	t.next = max(t.next, record.Next)
	for _, window := range record.Accepted {
		t.accept(window)
	}
	for _, boot := range record.Boots {
		if err := t.loadBoot(boot, record.Teams); err != nil {
			return err
		}
	}
	return nil
}

func (t *Tally) loadBoot(boot checkpointBoot, teams []string) error {
	key := bootKey{
		node: boot.Node,
		boot: boot.Boot,
	}
	state := t.stateOf(key)
	heard := time.UnixMilli(boot.HeardMs)
	latest := t.boots[bootKey{
		node: boot.Node,
		boot: t.latest[boot.Node],
	}]
	if boot.Latest && (latest == nil || heard.After(latest.heard)) {
		t.latest[boot.Node] = boot.Boot
	}
	if boot.EndedMs > 0 && state.ended.IsZero() {
		state.ended = time.UnixMilli(boot.EndedMs)
	}
	state.heard = later(state.heard, heard)
	state.current = max(state.current, boot.Current)
	if state.revision == 0 {
		state.rate = boot.Rate
	}
	for _, window := range boot.Windows {
		byTeam, err := decodeWindow(window, teams)
		if err != nil {
			return err
		}
		state.merge(window.Window, byTeam)
		if window.Omitted > 0 && state.revision == 0 {
			state.omitted[window.Window] = window.Omitted
		}
	}
	return nil
}

var errIndex = errors.New("counts of an unknown team")

func decodeWindow(window checkpointWindow, teams []string) (map[string]int, error) {
	byTeam := make(map[string]int, len(window.Counts)/2)
	index := 0
	for pair := range slices.Chunk(window.Counts, 2) {
		index += pair[0]
		if len(pair) < 2 || index < 0 || index >= len(teams) {
			return nil, errIndex
		}
		byTeam[teams[index]] = pair[1]
	}
	return byTeam, nil
}

// pack returns a record as it is saved.
func pack(record any) ([]byte, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(body); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(packed{Deflated: out.Bytes()})
}

// unpack decodes a record.
func unpack(value []byte, record any) error {
	var outer packed
	if err := json.Unmarshal(value, &outer); err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(outer.Deflated)), maxRecordBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, record)
}
