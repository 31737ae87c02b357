"""The terminal interface of `heathford try`; needs the extra `terminal`."""
