"""The command line: `heathford`."""
