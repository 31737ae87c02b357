"""A whole deployment on this machine, with a process for the registry, each engine and each front node."""
