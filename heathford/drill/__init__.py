"""The adapter for the simulator: decodes its events into calls on Router and encodes the Router's actions."""
