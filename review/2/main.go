// Command 2 adds a directory, removes another one for good, and then loses a further one
// for good, and checks that the directories that run answer.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"monsooncleat.example/monsooncleat/review/rig"
)

const (
	directories = 3
	relays      = 2
	// syncTime is how long a new machine counts as lost, and syncMargin what is waited in
	// addition.
	syncTime   = 4 * time.Second
	syncMargin = 4 * time.Second
	// lossGap is the time from the removal to the loss, and successorAfter that from the
	// loss to the start of the successor.
	lossGap        = time.Second
	successorAfter = time.Second
	// repairTime is how long after the loss the operator stops waiting.
	repairTime = 50 * time.Second
)

func main() {
	code, err := run(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(trouble bool) (int, error) {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		return rig.NotRun, err
	}
	defer record.Close()
	d, err := rig.New(rig.Options{Directories: directories, Relays: relays, Record: record})
	if err != nil {
		return rig.NotRun, err
	}
	defer d.Close()
	if d.Put(config(1), 20*time.Second).IsZero() || !d.Router.AwaitReady(10*time.Second) {
		return rig.NotRun, fmt.Errorf("the deployment did not start")
	}
	d.Sleep(rig.ContactTime)
	if _, err := d.AddDirectory(0, 1, 2); err != nil {
		return rig.NotRun, err
	}
	record.Printf("platform: directory 4 is added at a new address")
	d.Sleep(syncTime + syncMargin)
	if d.Put(config(2), rig.AckTime).IsZero() {
		return rig.NotRun, fmt.Errorf("no acknowledgement before the disruption")
	}
	if status, version := d.Get(3); status != 200 || version != 2 {
		return rig.NotRun, fmt.Errorf("directory 4 does not answer after its recovery time")
	}
	lost := time.Now()
	if trouble {
		if err := lose(d, record); err != nil {
			return rig.NotRun, err
		}
	}
	d.Sleep(rig.ContactTime + syncTime)
	newest := 2
	if !d.Put(config(3), time.Until(lost.Add(repairTime))).IsZero() {
		newest = 3
	}
	d.Sleep(time.Until(lost.Add(repairTime)))
	if !readBack(d, record, newest) {
		record.Printf("BROKEN: the configuration cannot be read back at any directory, %.0f s after the removal", time.Since(lost).Seconds())
		return rig.Broken, nil
	}
	return rig.Held, nil
}

// lose removes directory 2, which directory 4 replaces, and then loses directory 1, which
// directory 5 replaces.
func lose(d *rig.Deployment, record *rig.Record) error {
	d.Dirs[1].End(syscall.SIGKILL)
	record.Printf("platform: directory 2 is removed for good, without SIGTERM")
	d.Sleep(lossGap)
	d.Dirs[0].End(syscall.SIGKILL)
	record.Printf("platform: directory 1 is lost for good")
	d.Sleep(successorAfter)
	if _, err := d.AddDirectory(0, 2, 3); err != nil {
		return err
	}
	record.Printf("platform: directory 5 is added at a new address")
	return nil
}

// readBack reads the configuration at all directories for twice the contact time, as the
// operator does at the end of a day, and reports whether one returned the newest version.
func readBack(d *rig.Deployment, record *rig.Record, newest int) bool {
	came := false
	for end := time.Now().Add(2 * rig.ContactTime); time.Now().Before(end); d.Sleep(500 * time.Millisecond) {
		for i, p := range d.Dirs {
			if p.Ended() {
				continue
			}
			status, version := d.Get(i)
			record.Printf("operator: read at directory %d: status %d, version %d", i+1, status, version)
			came = came || status == 200 && version >= newest
		}
	}
	return came
}

func config(version int) rig.Config {
	return rig.NewConfig(version, []string{"svc"}, rig.NewRoute(443, "idempotent", "svc"))
}
