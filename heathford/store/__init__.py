"""Embedded durable key-value store: a log of checksummed records, an index of persistent maps, snapshots."""
