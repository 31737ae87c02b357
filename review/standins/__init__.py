"""Stand-ins of the cases: platform, engines, clients."""
