package daemon

// noteSharing publishes and logs the number of entry hosts of the data centre that take
// new flows, if a reply brought their list.
func (d *Daemon) noteSharing(hosts []uint64) {
	if hosts == nil {
		return
	}
	if before := d.sharingHosts.Swap(int64(len(hosts))); before != int64(len(hosts)) {
		d.log.Info("Entry hosts that take new flows changed.", "hosts", len(hosts), "before", before)
	}
}
