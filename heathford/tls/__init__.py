"""TLS keys and certificates: validation before use, rotation in service, and expiry warnings."""
