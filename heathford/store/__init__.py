"""An embedded store that lasts: a log of checksummed records, an index of persistent maps, snapshots."""
