"""The terminal interface of `heathford try`, which needs the extra `terminal`."""
